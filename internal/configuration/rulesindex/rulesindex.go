package rulesindex

import (
	"sort"
	"strings"

	"github.com/fulmarloft/fulmarloft/internal/pb/workpb"
)

// Index is an immutable index of one version of the rules.
type Index struct {
	rules  *workpb.Rules
	hosts  map[string][]*workpb.Queue
	queues map[string]*workpb.Queue
	teams  map[string]string
}

// New returns an index of the rules.
func New(rules *workpb.Rules) *Index {
	ix := &Index{
		rules:  rules,
		hosts:  map[string][]*workpb.Queue{},
		queues: map[string]*workpb.Queue{},
		teams:  map[string]string{},
	}
	for _, qu := range rules.GetQueues() {
		host := strings.ToLower(qu.GetHost())
		ix.hosts[host] = append(ix.hosts[host], qu)
		ix.queues[qu.GetName()] = qu
	}
	for _, list := range ix.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].GetPrefix()) > len(list[j].GetPrefix()) })
	}
	for _, tm := range rules.GetTeams() {
		for _, key := range tm.GetKeys() {
			ix.teams[key] = tm.GetName()
		}
	}
	return ix
}

// Rules returns the indexed rules.
func (ix *Index) Rules() *workpb.Rules { return ix.rules }

// Find returns the queue of the host with the longest matching path prefix, and the path after that prefix. Case and port of the host are ignored.
func (ix *Index) Find(host, path string) (qu *workpb.Queue, pathSuffix string, ok bool) {
	host = strings.ToLower(host)
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	for _, qu := range ix.hosts[host] {
		if strings.HasPrefix(path, qu.GetPrefix()) {
			return qu, path[len(qu.GetPrefix()):], true
		}
	}
	return nil, "", false
}

// Queue returns the queue with the given name.
func (ix *Index) Queue(name string) (*workpb.Queue, bool) {
	qu, ok := ix.queues[name]
	return qu, ok
}

// Team returns the team that a key belongs to.
func (ix *Index) Team(key string) (string, bool) {
	team, ok := ix.teams[key]
	return team, ok
}
