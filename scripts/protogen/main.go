// Command protogen generates Go code from the proto files below a folder, with the compiler and plugins at the versions in go.mod.
package main

import (
	"bytes"
	"context"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/linker"
	"github.com/bufbuild/protocompile/protoutil"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/pluginpb"
)

const module = "github.com/fulmarloft/fulmarloft"

// plugins are run for every file; drpc's writes nothing for files without services.
var plugins = []string{"google.golang.org/protobuf/cmd/protoc-gen-go", "storj.io/drpc/cmd/protoc-gen-go-drpc"}

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: protogen FOLDER")
		os.Exit(2)
	}
	if err := generate(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func generate(folder string) error {
	names, err := protoFiles(folder)
	if err != nil {
		return err
	}
	cp := protocompile.Compiler{
		Resolver:       protocompile.WithStandardImports(&protocompile.SourceResolver{ImportPaths: []string{folder}}),
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	files, err := cp.Compile(context.Background(), names...)
	if err != nil {
		return err
	}
	for _, plugin := range plugins {
		if err := runPlugin(plugin, newRequest(names, files)); err != nil {
			return fmt.Errorf("%s: %w", plugin, err)
		}
	}
	return nil
}

// protoFiles returns the paths of the proto files below a folder, relative to it.
func protoFiles(folder string) ([]string, error) {
	var names []string
	err := filepath.WalkDir(folder, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || filepath.Ext(path) != ".proto" {
			return err
		}
		name, err := filepath.Rel(folder, path)
		names = append(names, name)
		return err
	})
	return names, err
}

// newRequest returns the request to a plugin: the files to generate and the descriptors of all files, imports before the files that use them.
func newRequest(names []string, files linker.Files) *pluginpb.CodeGeneratorRequest {
	rq := &pluginpb.CodeGeneratorRequest{FileToGenerate: names, Parameter: proto.String("module=" + module)}
	seen := map[string]bool{}
	var add func(protoreflect.FileDescriptor)
	add = func(fd protoreflect.FileDescriptor) {
		if seen[fd.Path()] {
			return
		}
		seen[fd.Path()] = true
		for at := range fd.Imports().Len() {
			add(fd.Imports().Get(at).FileDescriptor)
		}
		rq.ProtoFile = append(rq.ProtoFile, protoutil.ProtoFromFileDescriptor(fd))
	}
	for _, fd := range files {
		add(fd)
	}
	return rq
}

// runPlugin runs a plugin and writes the files that it returns.
func runPlugin(plugin string, rq *pluginpb.CodeGeneratorRequest) error {
	raw, err := proto.Marshal(rq)
	if err != nil {
		return err
	}
	cmd := exec.Command("go", "run", plugin)
	cmd.Stdin = bytes.NewReader(raw)
	cmd.Stderr = os.Stderr
	out, err := cmd.Output()
	if err != nil {
		return err
	}
	rsp := &pluginpb.CodeGeneratorResponse{}
	if err := proto.Unmarshal(out, rsp); err != nil {
		return err
	}
	if rsp.GetError() != "" {
		return fmt.Errorf("%s", strings.TrimSpace(rsp.GetError()))
	}
	for _, file := range rsp.GetFile() {
		if err := os.MkdirAll(filepath.Dir(file.GetName()), 0o755); err != nil {
			return err
		}
		if err := os.WriteFile(file.GetName(), []byte(file.GetContent()), 0o644); err != nil {
			return err
		}
	}
	return nil
}
