// Command question asks a running deployment one question and prints the
// answer. Start one with "mulberryspoke demo" and give its address.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
)

// body is a chat request as model clients send it.
type body struct {
	Model     string    `json:"model"`
	MaxTokens int       `json:"max_tokens"`
	Messages  []message `json:"messages"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

const (
	arguments = 3
	maxTokens = 24
)

func main() {
	if len(os.Args) != arguments {
		fmt.Fprintln(os.Stderr, "usage: question http://IP:PORT QUESTION")
		os.Exit(1)
	}
	if err := ask(os.Args[1], os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, "question: "+err.Error())
		os.Exit(1)
	}
}

func ask(address, question string) error {
	text, err := json.Marshal(body{
		Model: "assistant", MaxTokens: maxTokens,
		Messages: []message{{Role: "user", Content: question}},
	})
	if err != nil {
		return err
	}
	request, err := http.NewRequest(http.MethodPost, address+"/v1/chat/completions", bytes.NewReader(text))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer demo-key-crews")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(os.Stdout, response.Body)
	return err
}
