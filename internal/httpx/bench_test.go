package httpx

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"kumquatwing/internal/bodylimit"
)

// BenchmarkReadBody compares ReadBody with reading a body as a whole, which it replaced, for the
// sizes of ordinary bodies.
func BenchmarkReadBody(b *testing.B) {
	budget := bodylimit.New("bench", 64<<20)
	for _, size := range []int{300, 3 << 10, 12 << 10} {
		data := bytes.Repeat([]byte(" "), size)
		run := func(name string, read func(w http.ResponseWriter, r *http.Request)) {
			b.Run(fmt.Sprintf("%d bytes, %s", size, name), func(b *testing.B) {
				b.ReportAllocs()
				w := httptest.NewRecorder()
				r := httptest.NewRequest(http.MethodPost, "/", nil)
				r.ContentLength = int64(size)
				for b.Loop() {
					r.Body = io.NopCloser(bytes.NewReader(data))
					read(w, r)
				}
			})
		}
		run("whole", func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(http.MaxBytesReader(w, r.Body, 4<<20))
		})
		run("ReadBody", func(w http.ResponseWriter, r *http.Request) {
			UseBudget(budget, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, body, _ := ReadBody(w, r, 4<<20)
				body.End()
			})).ServeHTTP(w, r)
		})
	}
}
