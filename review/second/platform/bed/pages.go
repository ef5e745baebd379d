package main

import (
	"bytes"
	"encoding/binary"
	"net/http"
	"strconv"
)

const (
	// pageHeader is the size of the end and the first offset before the records of a page,
	// and lengthBytes that of the length of a record.
	pageHeader, lengthBytes = 16, 4
	// defaultPageKB is the size of a page in KiB if the call names none.
	defaultPageKB = 1024
)

// limitPages keeps the pages of a store to the size that the call names. A page holds at
// least one record.
func limitPages(store http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/log-read" {
			store.ServeHTTP(w, r)
			return
		}
		page := &bufferedResponse{header: w.Header(), status: http.StatusOK}
		store.ServeHTTP(page, r)
		b := page.body.Bytes()
		if page.status == http.StatusOK {
			kb, err := strconv.Atoi(r.URL.Query().Get("max_kb"))
			if err != nil {
				kb = defaultPageKB
			}
			b = b[:pageEnd(b, kb<<10)]
		}
		w.WriteHeader(page.status)
		_, _ = w.Write(b)
	})
}

// pageEnd returns the length of a page with as many records as fit.
func pageEnd(b []byte, limit int) int {
	end := pageHeader
	for end+lengthBytes <= len(b) {
		next := end + lengthBytes + int(binary.BigEndian.Uint32(b[end:]))
		if end > pageHeader && next > limit {
			break
		}
		end = next
	}
	return min(end, len(b))
}

type bufferedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (p *bufferedResponse) Header() http.Header { return p.header }

func (p *bufferedResponse) WriteHeader(status int) { p.status = status }

func (p *bufferedResponse) Write(b []byte) (int, error) { return p.body.Write(b) }
