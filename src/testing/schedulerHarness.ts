/** An in-memory failure domain for tests of the scheduler: the real scheduler, which calls the stand-ins directly, without a network. */
import { silentLogger } from '../common/logger.js'
import { createRandom } from '../common/random.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { createRuleSet } from '../rules/ruleSet.js'
import type { RuleSet } from '../rules/ruleSet.js'
import { parseRules } from '../rules/ruleSyntax.js'
import { Adjacency } from '../scheduling/jobTypes.js'
import type { JobRecord, JobSpec } from '../scheduling/jobTypes.js'
import type { JobView } from '../scheduling/jobViews.js'
import { createScheduler } from '../scheduling/scheduler.js'
import type { Scheduler } from '../scheduling/scheduler.js'
import { TaskState } from '../scheduling/workerTypes.js'
import type { WorkerInfo, WorkerPort } from '../scheduling/workerTypes.js'
import { createMemoryStore } from '../standins/store.js'
import type { MemoryStore } from '../standins/store.js'
import { createMemoryWorker } from '../standins/worker.js'
import type { MemoryWorker } from '../standins/worker.js'
import type { KeyValueStore } from '../store/store.js'
import type { FaultInjector } from './gate.js'

/** An in-memory failure domain and its faults. */
export interface SchedulerHarness {
  readonly store: MemoryStore
  readonly workers: ReadonlyMap<string, MemoryWorker>
  /** Starts a scheduler with the next epoch. If `faultInjector` is given, all calls of the scheduler go through it. */
  startScheduler (faultInjector?: FaultInjector): Scheduler
  setStoreDown (isDown: boolean): void
  /** Drops the responses of the next `count` store calls, after the calls took effect. */
  loseStoreResponses (count: number): void
  /** Cuts a worker off from every scheduler, or reconnects it. */
  setCutOff (workerId: string, isCutOff: boolean): void
  /** Removes a worker from the list of workers and from the network. */
  removeWorker (workerId: string): void
  setRules (text: string): void
  /** While set, drops every lease renewal before it reaches its worker. */
  setRenewalsDropped (areDropped: boolean): void
  /** Discards the records that the scheduler has shared with the other hosts of the domain. */
  discardSharedRecords (): void
  /** Counts the members of a job that are running now. */
  countRunning (jobId: string): number
  /** Returns the attempts of a job of which at least one member is running now. */
  getRunningAttempts (jobId: string): ReadonlySet<number>
  /** Describes the tasks of a job on all workers, for a trace. */
  describeTasks (jobId: string): string
  /** Counts the members of a job that have ended and that their workers still list. */
  countEnded (jobId: string): number
  /** Returns how often each member of a job was released to run, by member index. */
  getReleases (jobId: string): readonly number[]
  getJobIds (): ReadonlySet<string>
  /** Counts the tasks on all workers that have not ended. */
  countLiveTasks (): number
  /** Counts the times that a scheduler learned that it had been superseded. */
  getSupersededCount (): number
}

/** The name of the failure domain. */
export const harnessDomain = 'harju'

const organisationRules = 'organisation mill # test\norganisation haul # test\n'

/** Creates a domain with workers of 8 accelerators, 8 to a rack. */
export function createSchedulerHarness (workerCount: number, rulesText: string): SchedulerHarness {
  const store = createMemoryStore()
  const workers = new Map<string, MemoryWorker>()
  const workerInfos: WorkerInfo[] = []
  const cutOffWorkers = new Set<string>()
  let isStoreDown = false
  let responsesToLose = 0
  let areRenewalsDropped = false
  /** The records that the other hosts of the domain hold for the next scheduler. */
  let sharedRecords: readonly JobRecord[] = []
  let rules: RuleSet = toRuleSet(rulesText, 1)
  let epoch = 0
  let supersededCount = 0
  for (let index = 0; index < workerCount; index++) {
    const workerId = `w${String(index).padStart(3, '0')}`
    workers.set(workerId, createMemoryWorker({ accelerators: 8 }))
    workerInfos.push({ workerId, address: workerId, domain: harnessDomain, rack: `r${Math.floor(index / 8)}`, processors: 64, memoryBytes: 2 ** 38, accelerators: 8, isLeaving: false })
  }

  return {
    store,
    workers,
    startScheduler,
    setStoreDown: isDown => { isStoreDown = isDown },
    loseStoreResponses: count => { responsesToLose = count },
    setCutOff: (workerId, isCutOff) => {
      if (isCutOff) cutOffWorkers.add(workerId)
      else cutOffWorkers.delete(workerId)
    },
    setRenewalsDropped: areDropped => { areRenewalsDropped = areDropped },
    discardSharedRecords: () => { sharedRecords = [] },
    removeWorker: workerId => {
      cutOffWorkers.add(workerId)
      workerInfos.splice(workerInfos.findIndex(info => info.workerId === workerId), 1)
    },
    setRules: text => { rules = toRuleSet(text, rules.revision + 1) },
    countRunning: jobId => countTasks(jobId, state => state === TaskState.Running),
    getRunningAttempts,
    describeTasks,
    countEnded: jobId => countTasks(jobId, state => state === TaskState.Ended),
    getReleases,
    getJobIds,
    countLiveTasks: () => countTasks(undefined, state => state !== TaskState.Ended),
    getSupersededCount: () => supersededCount
  }

  function startScheduler (faultInjector?: FaultInjector): Scheduler {
    epoch++
    return createScheduler({
      domain: harnessDomain,
      epoch,
      store: createInterceptedStore(faultInjector),
      logger: silentLogger,
      random: createRandom(epoch),
      getRules: () => rules,
      getWorkers: () => workerInfos,
      connect: info => createInterceptedWorker(info.workerId, faultInjector),
      timing: { renewIntervalMs: 1_000, leaseMs: 6_000, suspectAfterMs: 3_000, lossMarginMs: 500 },
      inheritedRecords: sharedRecords,
      shareUnwritten: async records => {
        const share = async (): Promise<void> => { sharedRecords = records }
        await (faultInjector === undefined ? share() : faultInjector.run('share', share))
      },
      onSuperseded: () => { supersededCount++ }
    })
  }

  function createInterceptedStore (faultInjector: FaultInjector | undefined): KeyValueStore {
    const call = async <T>(name: string, run: () => Promise<T>): Promise<T> => {
      const runWithFaults = async (): Promise<T> => {
        if (isStoreDown) throw createError(ErrorKind.StoreUnavailable, 'the store is down')
        const result = await run()
        if (responsesToLose === 0) return result
        responsesToLose--
        throw createError(name === 'put' ? ErrorKind.AnswerLost : ErrorKind.StoreUnavailable, 'the response of the store was lost')
      }
      return await (faultInjector === undefined ? runWithFaults() : faultInjector.run(name, runWithFaults))
    }
    return {
      get: key => call('get', () => store.get(key)),
      range: (prefix, options) => call('range', () => store.range(prefix, options)),
      put: write => call('put', () => store.put(write)),
      remove: (key, revision) => call('remove', () => store.remove(key, revision)),
      grantLease: ttlMs => store.grantLease(ttlMs),
      keepLeaseAlive: leaseId => store.keepLeaseAlive(leaseId),
      revokeLease: leaseId => store.revokeLease(leaseId),
      watch: (prefix, revision, waitMs) => store.watch(prefix, revision, waitMs)
    }
  }

  function createInterceptedWorker (workerId: string, faultInjector: FaultInjector | undefined): WorkerPort {
    const worker = workers.get(workerId) as MemoryWorker
    const call = async <T>(name: string, run: () => Promise<T>): Promise<T> => {
      const runWithFaults = async (): Promise<T> => {
        if (cutOffWorkers.has(workerId) || (name === 'renew' && areRenewalsDropped)) throw createError(ErrorKind.AnswerLost, 'the worker is cut off')
        return await run()
      }
      return await (faultInjector === undefined ? runWithFaults() : faultInjector.run(name, runWithFaults))
    }
    return {
      prepare: (callerEpoch, task, leaseMs) => call('prepare', () => worker.prepare(callerEpoch, task, leaseMs)),
      commit: (callerEpoch, taskIds) => call('commit', () => worker.commit(callerEpoch, taskIds)),
      release: (callerEpoch, taskIds) => call('release', () => worker.release(callerEpoch, taskIds)),
      stop: (callerEpoch, taskIds) => call('stop', () => worker.stop(callerEpoch, taskIds)),
      checkpoint: (callerEpoch, taskIds) => call('checkpoint', () => worker.checkpoint(callerEpoch, taskIds)),
      renew: request => call('renew', () => worker.renew(request))
    }
  }

  function countTasks (jobId: string | undefined, isCounted: (state: TaskState) => boolean): number {
    let count = 0
    for (const worker of workers.values()) {
      for (const task of worker.getTasks()) {
        if ((jobId === undefined || task.descriptor?.spec.jobId === jobId) && isCounted(task.state)) count++
      }
    }
    return count
  }

  function getRunningAttempts (jobId: string): ReadonlySet<number> {
    const attempts = new Set<number>()
    for (const worker of workers.values()) {
      for (const { descriptor, state } of worker.getTasks()) {
        if (descriptor?.spec.jobId === jobId && state === TaskState.Running) attempts.add(descriptor.attempt)
      }
    }
    return attempts
  }

  function describeTasks (jobId: string): string {
    const parts: string[] = []
    for (const [workerId, worker] of workers) {
      for (const { descriptor, state, ranMs, end } of worker.getTasks()) {
        if (descriptor?.spec.jobId === jobId) parts.push(`${workerId}${cutOffWorkers.has(workerId) ? ' (cut off)' : ''} attempt ${descriptor.attempt} member ${descriptor.member} ${state} ${end ?? ''} ran ${ranMs} ms`)
      }
    }
    return parts.join('; ')
  }

  /** Returns the jobs of which any worker lists a task. */
  function getJobIds (): ReadonlySet<string> {
    const jobIds = new Set<string>()
    for (const worker of workers.values()) {
      for (const task of worker.getTasks()) if (task.descriptor !== undefined) jobIds.add(task.descriptor.spec.jobId)
    }
    return jobIds
  }

  function getReleases (jobId: string): readonly number[] {
    const counts: number[] = []
    for (const worker of workers.values()) {
      for (const [key, count] of worker.releases) {
        const [id, member] = splitReleaseKey(key)
        if (id === jobId) counts[member] = (counts[member] ?? 0) + count
      }
    }
    return Array.from(counts, count => count ?? 0)
  }
}

/** Creates a job for the failure domain of the tests. */
export function createJobSpec (jobId: string, fields: Partial<JobSpec> = {}): JobSpec {
  return {
    jobId: `${harnessDomain}:${jobId}`,
    organisation: 'mill',
    domain: harnessDomain,
    submittedAtMs: Date.now(),
    name: jobId,
    members: 1,
    acceleratorsPerMember: 8,
    adjacency: Adjacency.Adjacent,
    processorsPerMember: 1,
    memoryBytesPerMember: 0,
    declaredRunMs: 60_000,
    priority: 'normal',
    repeatable: true,
    urgent: false,
    command: ['run', '10000'],
    ...fields
  }
}

/** Whether a job has ended, by its view. */
export function hasEnded (job: JobView | undefined): boolean {
  return job?.state === 'ended'
}

function toRuleSet (text: string, revision: number): RuleSet {
  return createRuleSet(parseRules(organisationRules + text).rules, revision)
}

function splitReleaseKey (key: string): readonly [string, number] {
  const separatorIndex = key.lastIndexOf('.')
  return [key.slice(0, separatorIndex), Number(key.slice(separatorIndex + 1))]
}
