package main

import (
	"strconv"

	"cornelwall"
)

// field is a field of a profile in text form.
type field struct{ name, value string }

// fieldsOf returns the fields that operators declare, in the order of the docs.
func fieldsOf(p *cornelwall.Profile) []field {
	return []field{
		{"name", p.Name},
		{"team", p.Team},
		{"class", p.Class.String()},
		{"deadline", p.Deadline.String()},
		{"queue", strconv.Itoa(p.Queue)},
		{"concurrency", strconv.Itoa(p.Concurrency)},
		{"quota", strconv.Itoa(p.Quota)},
		{"idempotent", strconv.FormatBool(p.Idempotent)},
		{"stale", p.Stale.String()},
	}
}

func fieldNames() []string {
	var ns []string
	for _, f := range fieldsOf(&cornelwall.Profile{}) {
		ns = append(ns, f.name)
	}
	return ns
}

// differences returns the fields that differ between old and p, such as "queue 100 -> 200".
func differences(old, p *cornelwall.Profile) []string {
	var ds []string
	olds := fieldsOf(old)
	for i, f := range fieldsOf(p) {
		if f.value != olds[i].value {
			ds = append(ds, f.name+" "+olds[i].value+" -> "+f.value)
		}
	}
	return ds
}
