package fleetapi

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/fulmarloft/fulmarloft/internal/machines/vm"
	"github.com/fulmarloft/fulmarloft/internal/machines/wave"
	"github.com/fulmarloft/fulmarloft/internal/pb/fleetpb"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// line is one object of a response; its pairs are written in this order.
type line []pair

type pair struct {
	key string
	val any
}

// MarshalJSON encodes the pairs in order as a JSON object.
func (ln line) MarshalJSON() ([]byte, error) {
	parts := make([]string, 0, len(ln))
	for _, pr := range ln {
		val, err := json.Marshal(pr.val)
		if err != nil {
			return nil, code.Internal.Wrap(err)
		}
		parts = append(parts, strconv.Quote(pr.key)+":"+string(val))
	}
	return []byte("{" + strings.Join(parts, ",") + "}"), nil
}

// String formats the pairs as key=value, separated by spaces and quoted where necessary.
func (ln line) String() string {
	parts := make([]string, 0, len(ln))
	for _, pr := range ln {
		text := fmt.Sprint(pr.val)
		if strings.ContainsAny(text, " \"=") || text == "" {
			text = strconv.Quote(text)
		}
		parts = append(parts, pr.key+"="+text)
	}
	return strings.Join(parts, " ")
}

func vmLine(row *fleetpb.VMRow) line {
	return line{
		{"name", row.GetName()},
		{"pool", row.GetPool()},
		{"zone", row.GetZone()},
		{"rack", row.GetRack()},
		{"state", vm.StateName(row.GetState())},
		{"reason", row.GetReason()},
		{"since-ms", row.GetSinceMs()},
		{"target", row.GetTarget()},
		{"wave", row.GetWave()},
		{"operation", row.GetOperation()},
		{"epoch", row.GetEpoch()},
		{"incarnation", row.GetIncarnation()},
		{"maintained-ms", row.GetMaintainedMs()},
	}
}

func waveLine(row *fleetpb.WaveRow) line {
	return line{
		{"name", row.GetName()},
		{"state", wave.StateName(row.GetState())},
		{"reason", row.GetReason()},
		{"since-ms", row.GetChangedMs()},
		{"started-ms", row.GetStartedMs()},
		{"pools", strings.Join(row.GetPools(), ",")},
		{"zones", strings.Join(row.GetZones(), ",")},
		{"racks", strings.Join(row.GetRacks(), ",")},
		{"parallel", row.GetParallel()},
		{"finished-pools", strings.Join(row.GetFinished(), ",")},
		{"operator", row.GetOperator()},
		{"operation", row.GetOperation()},
		{"epoch", row.GetEpoch()},
	}
}

func poolLine(ps *fleetpb.PoolStatus) line {
	return line{
		{"name", ps.GetName()},
		{"size", ps.GetSize()},
		{"members", ps.GetMembers()},
		{"max-unavailable", ps.GetMaxUnavailable()},
		{"down", ps.GetDown()},
		{"away", ps.GetAway()},
		{"worst-rack", ps.GetWorstRack()},
		{"blocked", ps.GetBlocked()},
	}
}

// writeLines writes the lines as key=value text if the client accepts text/plain, otherwise as a JSON array.
func writeLines(wr http.ResponseWriter, rq *http.Request, lines []line) {
	if rq.Header.Get("Accept") == contentText {
		wr.Header().Set("Content-Type", contentText)
		for _, ln := range lines {
			_, _ = fmt.Fprintln(wr, ln)
		}
		return
	}
	wr.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(wr).Encode(lines)
}

// writeError writes the status, code, name and text of an error as one line of text.
func writeError(wr http.ResponseWriter, err error) {
	cd := code.Of(err)
	wr.Header().Set(codeHeader, strconv.Itoa(int(cd)))
	wr.Header().Set("Content-Type", contentText)
	wr.WriteHeader(cd.Status())
	_, _ = fmt.Fprintf(wr, "code=%d name=%s error=%q\n", int(cd), cd, err)
}
