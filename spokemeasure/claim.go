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
	claimDuration = 4 * spokeclock.Second
	// tableWritesPerSecond is above MaxTransactionsPerSecond, so that the table
	// stand-in doesn't limit the claims.
	tableWritesPerSecond = 5000
	tableReadsPerSecond  = 20000
	readHeaderTimeout    = time.Minute
	recordedStatus       = 200
)

// ClaimCost is the load that claims put on the table service.
type ClaimCost struct {
	// ClaimsPerSecond is the intended rate of claims.
	ClaimsPerSecond float64 `json:"claims_per_second"`
	// CompletedClaims is the number of claims acquired and completed.
	CompletedClaims int64 `json:"made"`
	// TransactionsPerClaim is the mean number of transactions per completed claim.
	TransactionsPerClaim float64 `json:"transactions_per_claim"`
	// RowsPerClaim is the mean number of rows written per completed claim.
	RowsPerClaim float64 `json:"rows_per_claim"`
	// TransactionsPerSecond is the rate of transactions.
	TransactionsPerSecond float64 `json:"transactions_per_second"`
	// CPUCores is the processor time of this process per second, including that of
	// the table stand-in.
	CPUCores float64 `json:"core"`
}

// MeasureClaims acquires and completes claims as one entry instance and measures
// their cost. It returns an error if the table stand-in can't listen.
func MeasureClaims(ctx context.Context, claimsPerSecond float64) (ClaimCost, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	table, err := startTable(ctx)
	if err != nil {
		return ClaimCost{}, err
	}
	var transactions, rows atomic.Int64
	claims := &spokeclaim.Claims{Table: table, Owner: "entry", Log: zerolog.Nop(), TransactionFunc: func(rowCount int) {
		transactions.Add(1)
		rows.Add(int64(rowCount))
	}}
	go claims.Run(ctx)
	cpuSecondsBefore, started := processCPUSeconds(), time.Now()
	completed := runClaims(ctx, claims, claimsPerSecond)
	seconds := time.Since(started).Seconds()
	return ClaimCost{
		ClaimsPerSecond: claimsPerSecond, CompletedClaims: completed,
		TransactionsPerClaim:  float64(transactions.Load()) / float64(max(1, completed)),
		RowsPerClaim:          float64(rows.Load()) / float64(max(1, completed)),
		TransactionsPerSecond: float64(transactions.Load()) / seconds,
		CPUCores:              (processCPUSeconds() - cpuSecondsBefore) / seconds,
	}, nil
}

// startTable starts a table stand-in that runs until ctx ends, and returns its
// client.
func startTable(ctx context.Context) (*spoketable.Table, error) {
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	standin := &spokestandin.TableService{ReadsPerSecond: tableReadsPerSecond, WritesPerSecond: tableWritesPerSecond}
	server := &http.Server{Handler: standin.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return &spoketable.Table{
		URL: "http://" + listener.Addr().String(), Client: spokehttp.NewClient(), NoKeepAliveClient: spokehttp.NewNoKeepAliveClient(),
	}, nil
}

// runClaims starts claims at a constant rate, waits for all and returns how many
// completed.
func runClaims(ctx context.Context, claims *spokeclaim.Claims, claimsPerSecond float64) int64 {
	var completed atomic.Int64
	var running sync.WaitGroup
	count := int(claimsPerSecond * float64(claimDuration) / float64(spokeclock.Second))
	ticker := time.NewTicker(time.Duration(float64(time.Second) / claimsPerSecond))
	defer ticker.Stop()
	for range count {
		<-ticker.C
		running.Go(func() {
			if acquireAndComplete(ctx, claims) {
				completed.Add(1)
			}
		})
	}
	running.Wait()
	return completed.Load()
}

// acquireAndComplete claims a new idempotency key and records a response. It
// reports whether it acquired the claim.
func acquireAndComplete(ctx context.Context, claims *spokeclaim.Claims) bool {
	key, err := uuid.NewV7()
	if err != nil {
		return false
	}
	rowKey, err := spokeclaim.RowKey("workspace", key.String(), false, spokeclock.Wall())
	if err != nil {
		return false
	}
	result, err := claims.Acquire(ctx, rowKey, spokeclaim.Record{AttemptID: uuid.NewString(), Server: "server", RequestHash: rowKey})
	if err != nil || result.Acquired() == nil {
		return false
	}
	result.Acquired().RecordResponse(ctx, spokeplain.Response{Status: recordedStatus}, func() {})
	return true
}
