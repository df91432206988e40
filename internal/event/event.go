// Package event numbers what the programs log, so that operators can search
// and alert by number. The catalogue docs/EVENTS.md is held to [All] by a test.
// A logger from go.uber.org/zap does the writing.
package event

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// ID numbers one kind of event.
type ID int

// The events: 1xx the process, 2xx settings and files, 3xx entry VMs, 4xx
// targets, 5xx tasks, 6xx ledgers, 7xx the table and its quorum, 8xx the order
// of workers.
const (
	Started           ID = 101
	Listening         ID = 102
	Ready             ID = 103
	ShutdownBegun     ID = 104
	ShutdownEnded     ID = 105
	ShutdownCutOff    ID = 106
	Reloaded          ID = 107
	Fault             ID = 109
	VMSuspended       ID = 110
	SettingsRefused   ID = 201
	FileFault         ID = 202
	VMAlive           ID = 301
	VMDead            ID = 302
	PeerRefused       ID = 303
	VMSeen            ID = 304
	ControlLost       ID = 305
	ControlFound      ID = 306
	TargetLive        ID = 401
	TargetGone        ID = 402
	TargetSetAside    ID = 403
	TargetTrusted     ID = 404
	WorkerAnnounced   ID = 405
	WorkerRefused     ID = 406
	ReplyOutdated     ID = 407
	AnswerDiscarded   ID = 501
	LedgerAssigned    ID = 601
	LedgerTakenOver   ID = 602
	LedgerLost        ID = 603
	SubmissionInDoubt ID = 604
	TableChanged      ID = 701
	LeaderElected     ID = 702
	LeaderLost        ID = 703
	MemberChanged     ID = 704
	TailCutOff        ID = 705
	TableFetchFailed  ID = 706
	EvacuationChanged ID = 707
	EvacuationOrdered ID = 708
	EvacuationRefused ID = 709
	LeadTaken         ID = 801
	LeadLost          ID = 802
	JobAnswered       ID = 803
	JobSpilled        ID = 804
	JobNotCompleted   ID = 805
	WorkersDivided    ID = 806
	JobStarted        ID = 807
	JobHandedAgain    ID = 808
	JobRefused        ID = 809
	AnswerUnclaimed   ID = 810
	StartUnclaimed    ID = 811
	HandOverLost      ID = 812
	LeaderFollowed    ID = 813
	OffloadSilent     ID = 814
	WorkerLost        ID = 815
	StartUnanswered   ID = 816
	RunFound          ID = 817
	RunsListed        ID = 818
	StartUnlisted     ID = 819
	GateLost          ID = 820
	JobCompleted      ID = 821
	AnswerMisdirected ID = 822
	StartRepeated     ID = 823
	JobWithdrawn      ID = 824
	WithdrawalDelayed ID = 825
	JobsUnclaimed     ID = 826
	StartsWithheld    ID = 830
	PairKnown         ID = 831
	PairDropped       ID = 832
	Interference      ID = 833
)

// Entry describes one event.
type Entry struct {
	ID      ID
	Level   zapcore.Level
	Text    string
	Meaning string // for docs/EVENTS.md: what it says and what to do
}

var entries = []Entry{
	{Started, zapcore.InfoLevel, "process started", "The settings were accepted. Nothing to do."},
	{Listening, zapcore.InfoLevel, "listening", "An address is open; the field address has the port that was got."},
	{Ready, zapcore.InfoLevel, "ready", "The entry VM has a table and takes work."},
	{ShutdownBegun, zapcore.InfoLevel, "graceful shutdown begun", "No new work is taken; what runs is finished."},
	{ShutdownEnded, zapcore.InfoLevel, "graceful shutdown ended", "abandoned is the number of jobs that were given up at the limit, cut_off that of those without an answer."},
	{ShutdownCutOff, zapcore.ErrorLevel, "graceful shutdown cut off work", "The limit shutdown_limit passed with work still running; raise it or look for hanging targets."},
	{Reloaded, zapcore.InfoLevel, "settings reloaded", "The settings file changed, or SIGHUP asked for it to be read again; the seeds in it are in use."},
	{Fault, zapcore.ErrorLevel, "fault", "Something failed that should not; the field error tells where. Report it."},
	{VMSuspended, zapcore.WarnLevel, "VM was suspended", "The VM stood still for `length`, and its steady clock with it. After more than 0.5 s it gives up its leads, as after any pause."},
	{SettingsRefused, zapcore.ErrorLevel, "settings refused", "Each fault is logged with its path in the file; mend them and start again."},
	{FileFault, zapcore.ErrorLevel, "file fault", "A file of the data folder could not be read, written or synced. Check the disk."},
	{VMAlive, zapcore.InfoLevel, "entry VM alive", "Heartbeats of another entry VM arrive."},
	{VMDead, zapcore.WarnLevel, "entry VM dead", "No heartbeat arrived in time: it stopped, is frozen or is cut off."},
	{PeerRefused, zapcore.WarnLevel, "peer refused", "A process that is not in the settings tried to speak as an entry VM."},
	{VMSeen, zapcore.InfoLevel, "VM seen", "Another VM of the deployment was seen for the first time, restarted or began to drain."},
	{ControlLost, zapcore.WarnLevel, "control VM lost", "A control VM does not answer; what it would tell is learned from the others."},
	{ControlFound, zapcore.InfoLevel, "control VM found again", "A control VM that did not answer does again."},
	{TargetLive, zapcore.InfoLevel, "target live", "A target announced itself."},
	{TargetGone, zapcore.InfoLevel, "target gone", "A target is leaving, or its lease ended."},
	{TargetSetAside, zapcore.WarnLevel, "target set aside", "A target fails everything; it gets probes only. Look at it."},
	{TargetTrusted, zapcore.InfoLevel, "target trusted again", "A probe succeeded."},
	{WorkerAnnounced, zapcore.InfoLevel, "worker announced", "A worker said something new of itself: that it started, or that it leaves."},
	{WorkerRefused, zapcore.WarnLevel, "worker refused", "Announcements were not used, the last for the reason in `error`; `count` says how many since the line before. Another program sends them, or a worker that the platform's pages don't describe."},
	{ReplyOutdated, zapcore.WarnLevel, "reply of an earlier order", "A worker sent a second reply to an earlier order in place of the one to the order `call`. Its clock reading is `behind` the lowest that a reply to this order can have, or it has other lists than replies to `call` do (`other_lists`). The connection was closed, and the order is considered unanswered; `count` is the number of such replies since the process started. If one worker does it often, look at it."},
	{AnswerDiscarded, zapcore.WarnLevel, "answer discarded", "A target answered late, cut short or for other work. If one target does it often, look at it."},
	{LedgerAssigned, zapcore.InfoLevel, "ledger assigned", "This entry VM holds a ledger in a new role."},
	{LedgerTakenOver, zapcore.WarnLevel, "ledger taken over", "The primary was lost; this entry VM is primary now."},
	{LedgerLost, zapcore.ErrorLevel, "ledger lost", "All copies are gone; ids of the lost generation are refused as outcome unknown."},
	{SubmissionInDoubt, zapcore.WarnLevel, "submission in doubt", "Tasks were started and their ends are not known; the submission failed."},
	{TableChanged, zapcore.InfoLevel, "table changed", "A new version of the table is in force here."},
	{LeaderElected, zapcore.InfoLevel, "leader elected", "The control quorum has a leader."},
	{LeaderLost, zapcore.WarnLevel, "leader lost", "No leader of the control quorum is known; table changes are refused meanwhile."},
	{MemberChanged, zapcore.InfoLevel, "control member changed", "The voters of the control quorum changed."},
	{TailCutOff, zapcore.WarnLevel, "tail cut off", "The end of the control log was not whole and was cut off; it had not been acknowledged."},
	{TableFetchFailed, zapcore.WarnLevel, "table not fetched", "A VM announced a newer table and did not deliver it; the other VMs that announced it are asked, and the older version `held` stays in force meanwhile."},
	{EvacuationChanged, zapcore.InfoLevel, "evacuation changed", "This VM learned of an operator's order: the failure domain is evacuated from now on, or not any more. `age` is the time since the order was committed; look at the links of a VM that learns late."},
	{EvacuationOrdered, zapcore.InfoLevel, "evacuation order acknowledged", "An operator's order to evacuate a failure domain, or to withdraw that, is on a majority of the control VMs' disks, as `revision`. More than one of its `proposals` say that another order came between."},
	{EvacuationRefused, zapcore.WarnLevel, "evacuation order refused", "An operator's order was not acknowledged, for the reason in `error`; the operator sends it again. With code 5004 it may be applied nevertheless, with 5005 a control VM of an earlier build has to be upgraded first."},
	{LeadTaken, zapcore.InfoLevel, "lead taken", "This entry VM orders the workers of this group, of the division `epoch`, of its failure domain from now on, under this fence. `peer_news_seconds` is the time since the last heartbeat of each other entry VM."},
	{LeadLost, zapcore.WarnLevel, "lead lost", "This entry VM does not order the workers of this group any more; another does, or it drains or was frozen. `refused_by` is the worker that has seen a higher fence, if one told."},
	{JobAnswered, zapcore.InfoLevel, "job answered", "A caller's job is complete."},
	{JobSpilled, zapcore.InfoLevel, "job handed to another group", "Its own group would have been late with it, or its failure domain is evacuated; the outcome and the reason are what the other group made of it, and `free_places` is what that one had reported."},
	{JobNotCompleted, zapcore.WarnLevel, "job not completed", "A caller's job was refused (not_run), failed or was given up (abandoned), for the reason in the field."},
	{WorkersDivided, zapcore.InfoLevel, "workers divided", "The workers of the failure domain are divided into another number of groups, each with a dispatcher; what runs is stopped, and starts again after 1.5 s."},
	{JobStarted, zapcore.InfoLevel, "job started", "The dispatcher ordered the first task of a step, or a later run of any task. `group` is its group in the division `epoch` of the workers; `gates` says how many gates wait for its answer, and `gate_silence` the time since the last message of the one that has been silent for longest. `worker_leaving` and the fields beside it are of the worker's newest announcement that the dispatcher knew, and `reply_age` is the time since the worker last replied to it."},
	{JobHandedAgain, zapcore.InfoLevel, "job handed in again", "A gate handed in a job that is in hand here (`known`) or that was handed to another dispatcher before (`may_run`). `earlier_contact_age` is how long before that its earlier dispatchers may have heard the gate last, 0 if that is not told; the job starts no task here until that is 1.8 s, and what runs already is adopted."},
	{JobRefused, zapcore.InfoLevel, "job refused by its dispatcher", "The dispatcher had started no task of it; with `elsewhere` another group may take it."},
	{AnswerUnclaimed, zapcore.InfoLevel, "answer that no gate waits for", "The gates of the job were lost or have withdrawn it."},
	{StartUnclaimed, zapcore.ErrorLevel, "task started that no gate waits for", "A job went on that nobody waits for: its caller may have been told that it did not run. Report it."},
	{HandOverLost, zapcore.WarnLevel, "hand-over without an answer", "The dispatcher was lost or is not the dispatcher any more; the gate hands the job in again. With `may_run` its tasks may have been started; without it, the dispatcher did not get the job or says that it was never started."},
	{LeaderFollowed, zapcore.InfoLevel, "dispatcher followed", "This entry VM takes another VM, or none, for the dispatcher of a group from now on."},
	{OffloadSilent, zapcore.WarnLevel, "VM with offloaded jobs silent", "A VM that runs offloaded jobs of this VM's callers replied to no ping for `timeout`; the jobs are given up (504). It has withdrawn them by then."},
	{WorkerLost, zapcore.WarnLevel, "worker lost under a task", "The worker was lost with this task; `evidence` tells whether it crashed (refused: its host refuses connections; restarted: a later incarnation was seen), was only silent (survived), or neither is known yet (silent). Many lines for one task say that it crashes its workers; many tasks on one worker, that the worker is at fault."},
	{StartUnanswered, zapcore.WarnLevel, "start without a reply", "The worker may carry it out until 13.5 s after it was sent, in this incarnation or a later one of its name; the task starts on no other worker before."},
	{RunFound, zapcore.WarnLevel, "run found that was not ordered", "The worker lists a run that this dispatcher did not order there: one of the dispatcher before, or a late start. With `assigned_to` the task is on another worker as well: look for event 816 of the task, and at the incarnation. `task_phase` is what the dispatcher took the task for. With `listed_before` the worker had listed its runs since the takeover without this one, so it started after that. Report it."},
	{RunsListed, zapcore.InfoLevel, "runs of earlier dispatchers known", "Written once after a takeover: every worker has listed its runs, or `unlisted` names those that have not (of `unlisted_count`, at most eight) and the leases of the earlier dispatchers are over. `workers_incomplete` says that this VM may not know all workers, `runs_inherited` that its predecessor handed over those that have runs."},
	{StartUnlisted, zapcore.WarnLevel, "job started before all workers listed their runs", "After a takeover the dispatcher ordered a task while the workers in `unlisted` had not listed their runs. If one of them runs the same task, 817 names it."},
	{GateLost, zapcore.WarnLevel, "jobs of a silent gate withdrawn", "The dispatcher received no message of a gate for `silence` and withdrew its jobs, `jobs` of them. The gate may have forwarded them to another dispatcher, or their callers submit them again."},
	{JobCompleted, zapcore.InfoLevel, "job completed by its dispatcher", "`ends` has a row for each of its `tasks`, at most 16: its phase, run, and the end that was counted for it, by worker, incarnation and number of the end. A row whose phase is not finished, or without a worker, is a fault. Report it."},
	{AnswerMisdirected, zapcore.ErrorLevel, "answer names another job", "A dispatcher's answer to the call for `job` names `answered`. It was not delivered; the gate withdraws the job and forwards it again. Report it."},
	{StartRepeated, zapcore.InfoLevel, "start ordered again", "An earlier order of the same run got no reply, and its worker replies again. The worker carries the run out once. The fields are those of 807."},
	{JobWithdrawn, zapcore.InfoLevel, "job withdrawn by its gate", "The caller left or its time was over, or the gate forwarded the job to another dispatcher. `gate_silence` is the time since the newest message of the gate, and `gates` says how many gates wait for the job still: while there is one, it continues."},
	{WithdrawalDelayed, zapcore.WarnLevel, "withdrawal was repeated", "A dispatcher acknowledged the withdrawal of `job` only after `attempts`, or, without `acknowledged`, not within `took`. Until then this gate's messages to it listed the withdrawal. If that VM is of an earlier build, or over 128 withdrawals were not acknowledged, they showed it no contact, so that it stopped extending leases of this gate's jobs. Look for lost connections between the two VMs."},
	{JobsUnclaimed, zapcore.InfoLevel, "offloaded jobs run without a gate", "The gates of so many `jobs` that were offloaded to groups of this VM are lost, or their callers have left and a stop got no reply. All other entry VMs are told, and start none of them until their runs have ended, 1.8 s after the gate was last heard. `first` names up to 8 of them."},
	{StartsWithheld, zapcore.InfoLevel, "starts withheld for an evacuation", "The failure domain is evacuated. Since the last such line of the `group`, at least a second ago, its dispatcher answered jobs of which so many tasks (`starts`) were not started, and returned `jobs_moved` of these jobs to their gates to be offloaded."},
	{PairKnown, zapcore.InfoLevel, "rows slow each other down", "Tasks of `row` take `factor` times as long beside a task of the row `beside` on one worker, `low` to `high` by three standard errors. With the setting `interference` avoid they are placed apart where there is capacity. At most 8 such lines and 832 are written in 10 s for a group, and `omitted` counts those left out before. See docs/design/interference.md."},
	{PairDropped, zapcore.InfoLevel, "rows no longer slow each other down", "A pair of 831 is not used any more: the slowdown has ended, or there were too few runs beside each other lately to tell, as after some minutes apart. It is learned again from new runs."},
	{Interference, zapcore.InfoLevel, "interference observed", "Once a minute and group: the number of `observations` (runs that were done, of `rows_seen` rows), the pairs that are watched and those that are used (`known`), and `placed_apart`, the tasks placed on another worker because of a pair since the dispatcher took over. `rows` lists the rows with the most runs, 16 at most: how many ran alone, beside one and beside more tasks, on average over their time, and the geometric means of their time relative to the estimate. `pairs` lists the 8 pairs with the largest factor by `low`, known or not. The means are raw: a long run is seldom alone for all of its time, so that runs alone look shorter; the factors of the pairs allow for that."},
}

var byID = func() map[ID]Entry {
	m := make(map[ID]Entry, len(entries))
	for _, e := range entries {
		m[e.ID] = e
	}
	return m
}()

// All returns every event in ascending order.
func All() []Entry { return append([]Entry(nil), entries...) }

// maxErrorBytes bounds the text of an error in the log. Decoders quote what they cannot
// decode, in full.
const maxErrorBytes = 1 << 10

// Err returns err as a field of one line of at most maxErrorBytes, without the stack that it
// carries.
func Err(err error) zap.Field {
	text := err.Error()
	return zap.String("error", text[:min(len(text), maxErrorBytes)])
}

// Contain keeps a panic from ending the process: it is deferred in a goroutine or handler
// whose work can be given up alone, and logs the panic as a [Fault] with its stack. onPanic
// is called then, unless it is nil.
func Contain(l *zap.Logger, doing string, onPanic func()) {
	r := recover()
	if r == nil {
		return
	}
	Log(l, Fault, zap.String("doing", doing), zap.Any("panic", r), zap.Stack("stack"))
	if onPanic != nil {
		onPanic()
	}
}

// Log writes event id with its text and level.
func Log(l *zap.Logger, id ID, fields ...zap.Field) {
	e := byID[id]
	if c := l.Check(e.Level, e.Text); c != nil {
		c.Write(append([]zap.Field{zap.Int("event", int(id))}, fields...)...)
	}
}
