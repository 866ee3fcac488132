package vmlist

import (
	"context"
	"sync"

	"github.com/fulmarloft/fulmarloft/internal/pb/platformpb"
)

// View holds the newest list that was read, also while the platform can't be reached; it is safe for concurrent use.
type View struct {
	mu         sync.RWMutex
	read       func(ctx context.Context, known string) (*platformpb.VMList, string, error)
	list       *platformpb.VMList
	etag       string
	generation uint64
	byKind     map[string][]*platformpb.VM
	byName     map[string]*platformpb.VM
	gone       map[string]bool
}

// New returns an empty view. read returns the list and its ETag; if the ETag is still the known one, the list holds only its time.
func New(read func(ctx context.Context, known string) (*platformpb.VMList, string, error)) *View {
	return &View{read: read, list: &platformpb.VMList{}, gone: map[string]bool{}}
}

// Refresh reads the list and ignores it if it is older than the one held.
func (vw *View) Refresh(ctx context.Context) error {
	vw.mu.RLock()
	knownETag := vw.etag
	vw.mu.RUnlock()
	list, etag, err := vw.read(ctx, knownETag)
	if err != nil {
		return err
	}
	vw.mu.Lock()
	defer vw.mu.Unlock()
	if list.GetAsOfMs() < vw.list.GetAsOfMs() {
		return nil
	}
	if etag == knownETag && etag != "" {
		vw.list = &platformpb.VMList{AsOfMs: list.GetAsOfMs(), Vms: vw.list.GetVms(), Gone: vw.list.GetGone()}
		return nil
	}
	vw.store(list, etag)
	return nil
}

// Adopt replaces the list by one that another entry read, unless the list held is at least as new.
func (vw *View) Adopt(list *platformpb.VMList) {
	vw.mu.Lock()
	defer vw.mu.Unlock()
	if list.GetAsOfMs() > vw.list.GetAsOfMs() {
		vw.store(list, "")
	}
}

// List returns the newest list; the caller must not change it.
func (vw *View) List() *platformpb.VMList {
	vw.mu.RLock()
	defer vw.mu.RUnlock()
	return vw.list
}

// Generation returns a number that grows with each list that is stored; a list whose ETag shows unchanged content only updates the time of the one held.
func (vw *View) Generation() uint64 {
	vw.mu.RLock()
	defer vw.mu.RUnlock()
	return vw.generation
}

// Kind returns the VMs of one kind; the caller must not change the slice.
func (vw *View) Kind(kind string) []*platformpb.VM {
	vw.mu.RLock()
	defer vw.mu.RUnlock()
	return vw.byKind[kind]
}

// Named returns the VM of that name, nil if it isn't listed.
func (vw *View) Named(name string) *platformpb.VM {
	vw.mu.RLock()
	defer vw.mu.RUnlock()
	return vw.byName[name]
}

// Gone reports whether any list has named the incarnation as permanently ended.
func (vw *View) Gone(incarnation string) bool {
	vw.mu.RLock()
	defer vw.mu.RUnlock()
	return vw.gone[incarnation]
}

// store replaces the list and its indexes; the gone incarnations of earlier lists are kept.
func (vw *View) store(list *platformpb.VMList, etag string) {
	vw.list, vw.etag = list, etag
	vw.generation++
	vw.byKind = map[string][]*platformpb.VM{}
	vw.byName = make(map[string]*platformpb.VM, len(list.GetVms()))
	for _, vm := range list.GetVms() {
		vw.byKind[vm.GetKind()] = append(vw.byKind[vm.GetKind()], vm)
		vw.byName[vm.GetName()] = vm
	}
	for _, inc := range list.GetGone() {
		vw.gone[inc] = true
	}
}
