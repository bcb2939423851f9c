package spokemeasure

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"mulberryspoke.example/mulberryspoke/spokeclaim"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokehttp"
	"mulberryspoke.example/mulberryspoke/spokeplain"
	"mulberryspoke.example/mulberryspoke/spokestandin"
	"mulberryspoke.example/mulberryspoke/spoketable"
)

const (
	claimLength  = 4 * spokeclock.Second
	claimWrites  = 5000
	claimReads   = 20000
	headerWait   = time.Minute
	finishedCode = 200
)

// ClaimCost is what claims cost the table service.
type ClaimCost struct {
	// ClaimsPerSecond is the claims made for each second.
	ClaimsPerSecond float64 `json:"claims_per_second"`
	// CompletedClaims is the number of claims made and finished.
	CompletedClaims int64 `json:"made"`
	// TransactionsPerClaim is the transactions for each claim.
	TransactionsPerClaim float64 `json:"transactions_per_claim"`
	// RowsPerClaim is the rows written for each claim.
	RowsPerClaim float64 `json:"rows_per_claim"`
	// TransactionsPerSecond is the transactions for each second.
	TransactionsPerSecond float64 `json:"transactions_per_second"`
	// CPUCores is the part of a core, the table's stand-in included.
	CPUCores float64 `json:"core"`
}

// MeasureClaims makes and finishes claims at a rate at one entry instance.
func MeasureClaims(ctx context.Context, rate float64) (ClaimCost, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	table, err := startTable(ctx)
	if err != nil {
		return ClaimCost{}, err
	}
	var transactions, rows atomic.Int64
	claims := &spokeclaim.Claims{Table: table, Owner: "entry", Log: zerolog.Nop(), TransactionFunc: func(count int) {
		transactions.Add(1)
		rows.Add(int64(count))
	}}
	go claims.Run(ctx)
	before, started := processSeconds(), time.Now()
	made := makeClaims(ctx, claims, rate)
	seconds := time.Since(started).Seconds()
	return ClaimCost{
		ClaimsPerSecond: rate, CompletedClaims: made,
		TransactionsPerClaim:  float64(transactions.Load()) / float64(max(1, made)),
		RowsPerClaim:          float64(rows.Load()) / float64(max(1, made)),
		TransactionsPerSecond: float64(transactions.Load()) / seconds,
		CPUCores:              (processSeconds() - before) / seconds,
	}, nil
}

func startTable(ctx context.Context) (*spoketable.Table, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	standin := &spokestandin.TableService{ReadsPerSecond: claimReads, WritesPerSecond: claimWrites}
	server := &http.Server{Handler: standin.Handler(), ReadHeaderTimeout: headerWait}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return &spoketable.Table{URL: "http://" + listener.Addr().String(), Client: spokehttp.NewClient()}, nil
}

func makeClaims(ctx context.Context, claims *spokeclaim.Claims, rate float64) int64 {
	var made atomic.Int64
	var running sync.WaitGroup
	count := int(rate * float64(claimLength) / float64(spokeclock.Second))
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	for range count {
		<-ticker.C
		running.Go(func() {
			if claimOnce(ctx, claims) {
				made.Add(1)
			}
		})
	}
	running.Wait()
	return made.Load()
}

func claimOnce(ctx context.Context, claims *spokeclaim.Claims) bool {
	key, err := uuid.NewV7()
	if err != nil {
		return false
	}
	row, err := spokeclaim.RowKey("workspace", key.String(), false, spokeclock.Wall())
	if err != nil {
		return false
	}
	outcome, err := claims.Acquire(ctx, row, spokeclaim.Record{AttemptID: uuid.NewString(), Server: "server", RequestHash: row})
	if err != nil || outcome.Acquired() == nil {
		return false
	}
	outcome.Acquired().RecordResponse(ctx, spokeplain.Response{Status: finishedCode})
	return true
}
