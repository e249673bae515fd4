package main

import (
	"encoding/json"
	"net/http"
)

// getJSON sends a GET request and decodes the JSON response into v.
func getJSON(url string, v any) error {
	resp, err := http.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(v)
}
