// Testonly reports functions and methods that only tests call. Package deadcode from golang.org/x/tools treats exported
// methods as reachable by reflection, so it misses a method such as a recorder that no production code calls.
//
//	go run ./scripts/testonly ./...
//
// Packages whose code serves tests and demonstrations are not checked, nor are methods that may satisfy an interface and
// accessors, which return one field.
package main

import (
	"fmt"
	"go/ast"
	"go/types"
	"os"
	"slices"
	"strings"

	"golang.org/x/tools/go/packages"
)

// exempt lists the packages that serve tests and demonstrations, and generated code.
var exempt = []string{"/src/standin", "/src/local", "/src/experiment", "/src/api/"}

// errorOf is the function by which tests of several packages read the code of an error.
const errorOf = "github.com/stilemast/stilemast/src/code.Of"

func main() {
	unused, err := find(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "testonly:", err)
		os.Exit(2)
	}
	for _, u := range unused {
		fmt.Println(u)
	}
	if len(unused) > 0 {
		os.Exit(1)
	}
}

// find returns one line for each function that no production code uses, sorted.
func find(patterns []string) ([]string, error) {
	config := &packages.Config{Mode: packages.NeedName | packages.NeedFiles | packages.NeedSyntax | packages.NeedTypes | packages.NeedTypesInfo | packages.NeedImports | packages.NeedDeps | packages.NeedModule}
	list, err := packages.Load(config, patterns...)
	if err != nil {
		return nil, err
	}
	if packages.PrintErrors(list) > 0 {
		return nil, fmt.Errorf("the packages have errors")
	}
	used, interfaces := usedObjects(list), interfaceMethods(list)
	used[errorOf] = true
	var out []string
	for _, p := range list {
		if slices.ContainsFunc(exempt, func(part string) bool { return strings.Contains(p.PkgPath+"/", part) }) {
			continue
		}
		accessors := accessorsOf(p)
		for _, f := range declared(p.Types) {
			if used[f.FullName()] || accessors[f] || isMethod(f) && interfaces[f.Name()] {
				continue
			}
			out = append(out, fmt.Sprintf("%s: %s is used by tests only", p.Fset.Position(f.Pos()), f.Name()))
		}
	}
	slices.Sort(out)
	return out, nil
}

// usedObjects returns the full names of the functions that the packages' production code refers to.
func usedObjects(list []*packages.Package) map[string]bool {
	out := map[string]bool{}
	for _, p := range list {
		for _, o := range p.TypesInfo.Uses {
			if f, ok := o.(*types.Func); ok {
				out[f.Origin().FullName()] = true
			}
		}
	}
	return out
}

// interfaceMethods returns the names of all methods of interfaces in the packages and what they import. A method with
// such a name may be called through an interface.
func interfaceMethods(list []*packages.Package) map[string]bool {
	out := map[string]bool{"Error": true, "Unwrap": true} // called by package errors
	packages.Visit(list, nil, func(p *packages.Package) {
		scope := p.Types.Scope()
		for _, name := range scope.Names() {
			t, ok := scope.Lookup(name).(*types.TypeName)
			if !ok {
				continue
			}
			if i, ok := t.Type().Underlying().(*types.Interface); ok && (t.Exported() || p.Module != nil && p.Module.Main) {
				for m := range i.NumMethods() {
					out[i.Method(m).Name()] = true
				}
			}
		}
	})
	return out
}

// accessorsOf returns the methods of a package that only return a field.
func accessorsOf(p *packages.Package) map[types.Object]bool {
	out := map[types.Object]bool{}
	for _, file := range p.Syntax {
		for _, d := range file.Decls {
			f, ok := d.(*ast.FuncDecl)
			if !ok || f.Recv == nil || f.Body == nil || len(f.Body.List) != 1 {
				continue
			}
			if r, ok := f.Body.List[0].(*ast.ReturnStmt); ok && len(r.Results) == 1 {
				_, isField := r.Results[0].(*ast.SelectorExpr)
				out[p.TypesInfo.Defs[f.Name]] = isField
			}
		}
	}
	return out
}

// declared returns the functions and methods that a package declares.
func declared(p *types.Package) []*types.Func {
	var out []*types.Func
	for _, name := range p.Scope().Names() {
		switch o := p.Scope().Lookup(name).(type) {
		case *types.Func:
			if name != "main" && name != "init" {
				out = append(out, o)
			}
		case *types.TypeName:
			if n, ok := o.Type().(*types.Named); ok {
				for i := range n.NumMethods() {
					out = append(out, n.Method(i))
				}
			}
		}
	}
	return out
}

func isMethod(f *types.Func) bool { return f.Type().(*types.Signature).Recv() != nil }
