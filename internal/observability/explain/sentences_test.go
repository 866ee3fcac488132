package explain_test

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmarloft/fulmarloft/internal/observability/event"
	"github.com/fulmarloft/fulmarloft/internal/observability/explain"
	"github.com/fulmarloft/fulmarloft/pkg/code"
)

// logCall is a call in the sources that logs an event.
type logCall struct {
	event  string
	fails  bool
	fields []string
}

// Every event that the sources log must have a sentence, which must use no field that the event lacks.
func TestEveryEventHasItsSentence(t *testing.T) {
	calls := logCalls(t)
	qt.Assert(t, len(calls) > 90, qt.IsTrue, qt.Commentf("%d calls found", len(calls)))
	for _, lc := range calls {
		buf := &bytes.Buffer{}
		lg := event.New(buf)
		pairs := []any{"request-id", "x"}
		for _, field := range lc.fields {
			pairs = append(pairs, field, "x")
		}
		if lc.fails {
			lg.Fail(lc.event, code.Conflict.New("test"), pairs...)
		} else {
			lg.Info(lc.event, pairs...)
		}
		ex := explain.New("x")
		qt.Assert(t, ex.Read("entry-1", buf), qt.IsNil)
		qt.Assert(t, ex.Gather(), qt.IsTrue)
		out := &bytes.Buffer{}
		ex.WriteText(out, "")
		for _, bad := range []string{"event=", "(unknown)", "{", "[", "]"} {
			qt.Check(t, out.String(), qt.Not(qt.Contains), bad, qt.Commentf("%+v", lc))
		}
	}
}

// logCalls returns the calls of event.Log in the sources whose event is a literal.
func logCalls(t *testing.T) []logCall {
	var out []logCall
	for _, dir := range []string{"../../../internal", "../../../platform", "../../../cmd"} {
		err := filepath.WalkDir(dir, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			ast.Inspect(file, func(nd ast.Node) bool {
				if call, ok := nd.(*ast.CallExpr); ok {
					out = append(out, logCallsOf(call)...)
				}
				return true
			})
			return err
		})
		qt.Assert(t, err, qt.IsNil)
	}
	return out
}

func logCallsOf(call *ast.CallExpr) []logCall {
	sel, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || len(call.Args) == 0 || (sel.Sel.Name != "Info" && sel.Sel.Name != "Fail") {
		return nil
	}
	name, ok := literal(call.Args[0])
	if !ok {
		return nil
	}
	lc := logCall{event: name, fails: sel.Sel.Name == "Fail"}
	first := 1
	if lc.fails {
		first = 2
	}
	for at := first; at < len(call.Args); at += 2 {
		if field, ok := literal(call.Args[at]); ok {
			lc.fields = append(lc.fields, field)
		}
	}
	return []logCall{lc}
}

func literal(ex ast.Expr) (string, bool) {
	lit, ok := ex.(*ast.BasicLit)
	if !ok || lit.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(lit.Value)
	return text, err == nil
}
