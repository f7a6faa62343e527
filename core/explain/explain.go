// Package explain reconstructs from the logs of entries what became of batches, and why those that
// were late or not served were lost. It reads what "cornelwall dispatch" writes; the pages of
// docs/OPERATIONS.md list the lines.
//
// # Usage
//
//	var l explain.Log
//	err := l.Read("entry-1.log", file)
//	for _, b := range l.Batches() {
//		fmt.Println(b.ID, b.Cause())
//	}
//
// # Files
//
// line.go parses one line, log.go collects the lines of many entries, batch.go assembles the lines
// of a batch, cause.go derives why it was lost, and losses.go counts the losses.
package explain
