package rulesindex

import (
	"sort"
	"strings"

	"github.com/fulmarloft/fulmarloft/internal/workpb"
)

// Index answers look-ups in one version of the rules; it doesn't change.
type Index struct {
	rules  *workpb.Rules
	hosts  map[string][]*workpb.Queue
	queues map[string]*workpb.Queue
	teams  map[string]string
}

// New returns the index of the rules.
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

// Rules returns the rules.
func (ix *Index) Rules() *workpb.Rules { return ix.rules }

// Find returns the queue with the longest prefix of the path among those of the host, and the rest of the path.
func (ix *Index) Find(host, path string) (qu *workpb.Queue, rest string, ok bool) {
	host = strings.ToLower(host)
	if at := strings.LastIndexByte(host, ':'); at >= 0 {
		host = host[:at]
	}
	for _, qu := range ix.hosts[host] {
		if strings.HasPrefix(path, qu.GetPrefix()) {
			return qu, path[len(qu.GetPrefix()):], true
		}
	}
	return nil, "", false
}

// Queue returns the queue of a name.
func (ix *Index) Queue(name string) (*workpb.Queue, bool) {
	qu, ok := ix.queues[name]
	return qu, ok
}

// Team returns the team that a key belongs to.
func (ix *Index) Team(key string) (string, bool) {
	team, ok := ix.teams[key]
	return team, ok
}
