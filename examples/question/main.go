// Command question sends one chat request to a running deployment and prints the
// response. Start a deployment with "mulberryspoke demo" and pass its address.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"

	"mulberryspoke.example/mulberryspoke/spokehttp"
)

// chatRequest is the body of a chat request.
type chatRequest struct {
	Model     string    `json:"model"`
	MaxTokens int       `json:"max_tokens"`
	Messages  []message `json:"messages"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

const (
	argumentCount = 3
	maxTokens     = 24
)

func main() {
	if len(os.Args) != argumentCount {
		fmt.Fprintln(os.Stderr, "usage: question http://IP:PORT QUESTION")
		os.Exit(1)
	}
	if err := ask(os.Args[1], os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, "question: "+err.Error())
		os.Exit(1)
	}
}

func ask(address, question string) error {
	body, err := json.Marshal(chatRequest{
		Model: "assistant", MaxTokens: maxTokens,
		Messages: []message{{Role: "user", Content: question}},
	})
	if err != nil {
		return err
	}
	request, err := http.NewRequest(http.MethodPost, address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer demo-key-crews")
	response, err := spokehttp.NewClient().Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(os.Stdout, response.Body)
	return err
}
