package client_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	"cornelwall"
	"cornelwall/client"
)

func Example() {
	c, err := client.New(client.Config{
		Entries: []string{"http://10.0.1.5:7000", "http://10.0.2.5:7000"},
		Profile: "seat-holds",
		Retries: 2, // new tickets after answers of not run
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	job := cornelwall.Job{Tasks: []cornelwall.Task{{Body: []byte(`{"seat":12}`)}}}
	answer, err := c.Submit(ctx, job)
	switch {
	case err == nil:
		fmt.Printf("%s\n", answer.Tasks[0].Body)
	case errors.Is(err, client.ErrNotRun):
		fmt.Println("nothing ran; submit the work again")
	case errors.Is(err, client.ErrFailed):
		fmt.Println("at least one task started:", answer.Tasks)
	case errors.Is(err, client.ErrUnknown):
		fmt.Println("ask again later under", answer.Ticket)
	}
}
