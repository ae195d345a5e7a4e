//go:build deps

// Package deps keeps the modules of the house style in go.mod until each is imported.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/ThreeDotsLabs/watermill/message"
	_ "github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/ansel1/merry/v2"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/frankban/quicktest"
	_ "github.com/go-chi/chi/v5"
	_ "github.com/goccy/go-yaml"
	_ "github.com/google/uuid"
	_ "github.com/prometheus/client_golang/prometheus"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/prometheus/client_golang/prometheus/testutil"
	_ "github.com/urfave/cli/v3"
	_ "github.com/vmihailenco/msgpack/v5"
	_ "go.etcd.io/bbolt"
	_ "go.uber.org/goleak"
	_ "go.uber.org/zap"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/sys/unix"
	_ "golang.org/x/time/rate"
	_ "pgregory.net/rapid"
)
