package fleet
import ("cmp";"testing";"os";"fmt";"time";"path/filepath";"sync";"runtime";"sync/atomic";"strconv")
func spread(n int, f func(int)) {
	var next atomic.Int64
	var all sync.WaitGroup
	for range min(n, runtime.GOMAXPROCS(0)) {
		all.Go(func() { for { i := int(next.Add(1)) - 1; if i >= n { return }; f(i) } })
	}
	all.Wait()
}
func TestTmp(t *testing.T){
 base,_:=os.ReadFile(cmp.Or(os.Getenv("BASE"),"testdata/base.toml"))
 names,_:=filepath.Glob(cmp.Or(os.Getenv("GLOB"),"testdata/hard/*.toml"))
 var days []*Day
 for _,n:=range names {
  data,_:=os.ReadFile(n)
  d,err:=Read(File{"base.toml",base},File{n,data}); if err!=nil{t.Fatal(err)}
  days=append(days,d)
 }
 n,_:=strconv.Atoi(os.Getenv("SEEDS")); if n==0 {n=20}
 stream,_:=strconv.Atoi(os.Getenv("STREAM")); if stream==0{stream=1}
 s:=time.Now()
 all:=Sweep(days,Seeds(uint64(stream),n),spread)
 line:=func(name string,o []Outcome){ x:=Summarize(o); fmt.Printf("%-12s p10 %.3f p50 %.3f calm %.3f rec50 %.1f rec90 %.1f shadow %.3f over %.3f broken %d\n",name,x.Service10,x.Service50,x.Calm50,x.Recovery50,x.Recovery90,x.Shadow,x.Overdriven,x.Broken)}
 ns,g:=ByDay(all)
 for _,x:=range ns { line(x,g[x]) }
 line("all",all)
 for _,o:=range all { if len(o.Broken)>0 { fmt.Println(o.Day,o.Seed,o.Broken); break } }
 fmt.Println(time.Since(s))
}
func TestOne(t *testing.T){
 base,_:=os.ReadFile(cmp.Or(os.Getenv("BASE"),"testdata/base.toml"))
 files:=[]File{{"base.toml",base}}
 if n:=os.Getenv("DAY");n!="" { data,_:=os.ReadFile("testdata/hard/"+n+".toml"); files=append(files,File{n,data}) }
 d,err:=Read(files...); if err!=nil{t.Fatal(err)}
 d.Seed=7
 r:=Play(d,Options{Trace:true})
 fmt.Printf("%.3f shadow %.3f asked %d served %d late %d ref %d fail %d causes %v shadowcauses %v\n",r.Service(),r.ShadowPart(),r.Asked,r.Served,r.Late,r.Refused,r.Failed,r.Causes,r.ShadowCauses)
 for _,s:=range r.Trace.Samples { if s.Tier==0&&s.Copy==0&&s.At%1000000==0 { g:=s.Figures
  fmt.Printf("%2ds tier %.1f/%d cut %v %d/%d@%.1f  share %.2f errs %.2f free %.2f over %d ready %d|",s.At/1000000,min(g.Tier.Count,999),g.Tier.Out,g.Tier.Cut.By,g.Tier.Cut.Bad,g.Tier.Cut.Of,float64(g.Tier.Cut.At)/1e6,g.Share,g.Errors,s.Free,s.Over,g.Ready)
  for _,c:=range g.Classes{fmt.Printf(" %.1f/%d %v",min(c.Count,999),c.Out,c.Cut.By)}
  n:=0; for _,x:=range r.Trace.Refusals { if x.At/1000000==s.At/1000000 {n++}}
  fmt.Println(" ref",n)
 }}
}
