/** A failure domain in memory for tests of the scheduler: the real scheduler, with the stand-ins called directly. */
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
import type { Store } from '../store/store.js'
import type { Gate } from './gate.js'

/** A failure domain in memory. */
export interface SchedulerRig {
  readonly store: MemoryStore
  readonly workers: ReadonlyMap<string, MemoryWorker>
  /** Starts a scheduler with the next epoch. All its calls go through the gate, if one is given. */
  startScheduler (gate?: Gate): Scheduler
  setStoreDown (isDown: boolean): void
  /** So many of the store's next answers are lost after the call took effect. */
  loseStoreAnswers (count: number): void
  /** Cuts a worker off from every scheduler. */
  setCutOff (workerId: string, isCutOff: boolean): void
  /** Takes a worker off the platform's list, and off the network. */
  removeWorker (workerId: string): void
  setRules (text: string): void
  /** Every renewal is lost on its way. */
  holdRenewals (isHeld: boolean): void
  /** The other hosts of the domain forget what the scheduler has given them. */
  loseSharedRecords (): void
  /** How many members of a job run at this moment. */
  countRunning (jobId: string): number
  /** The attempts of a job of which a member runs at this moment. */
  getRunningAttempts (jobId: string): ReadonlySet<number>
  /** The tasks of a job on all workers, for a trace. */
  describeTasks (jobId: string): string
  /** How many members of a job have ended and are still known to their workers. */
  countEnded (jobId: string): number
  /** How often the members of a job were released; one number a member. */
  getReleases (jobId: string): readonly number[]
  getJobIds (): ReadonlySet<string>
  /** Tasks that have not ended, on all workers. */
  countLiveTasks (): number
  getDeposedCount (): number
}

/** The failure domain of every rig. */
export const rigDomain = 'harju'

const rulesHead = 'organisation mill # test\norganisation haul # test\n'

/** Creates a domain with workers of 8 accelerators, 8 to a rack. */
export function createSchedulerRig (workerCount: number, rulesText: string): SchedulerRig {
  const store = createMemoryStore()
  const workers = new Map<string, MemoryWorker>()
  const infos: WorkerInfo[] = []
  const cutOff = new Set<string>()
  let isStoreDown = false
  let lostAnswers = 0
  let areRenewalsHeld = false
  /** What other hosts of the domain hold for a successor. */
  let sharedRecords: readonly JobRecord[] = []
  let rules: RuleSet = toRuleSet(rulesText, 1)
  let epoch = 0
  let deposedCount = 0
  for (let index = 0; index < workerCount; index++) {
    const workerId = `w${String(index).padStart(3, '0')}`
    workers.set(workerId, createMemoryWorker({ accelerators: 8 }))
    infos.push({ workerId, address: workerId, domain: rigDomain, rack: `r${Math.floor(index / 8)}`, processors: 64, memoryBytes: 2 ** 38, accelerators: 8, isLeaving: false })
  }

  return {
    store,
    workers,
    startScheduler,
    setStoreDown: isDown => { isStoreDown = isDown },
    loseStoreAnswers: count => { lostAnswers = count },
    setCutOff: (workerId, isCutOff) => {
      if (isCutOff) cutOff.add(workerId)
      else cutOff.delete(workerId)
    },
    holdRenewals: isHeld => { areRenewalsHeld = isHeld },
    loseSharedRecords: () => { sharedRecords = [] },
    removeWorker: workerId => {
      cutOff.add(workerId)
      infos.splice(infos.findIndex(info => info.workerId === workerId), 1)
    },
    setRules: text => { rules = toRuleSet(text, rules.revision + 1) },
    countRunning: jobId => countTasks(jobId, state => state === TaskState.Running),
    getRunningAttempts,
    describeTasks,
    countEnded: jobId => countTasks(jobId, state => state === TaskState.Ended),
    getReleases,
    getJobIds,
    countLiveTasks: () => countTasks(undefined, state => state !== TaskState.Ended),
    getDeposedCount: () => deposedCount
  }

  function startScheduler (gate?: Gate): Scheduler {
    epoch++
    return createScheduler({
      domain: rigDomain,
      epoch,
      store: createGatedStore(gate),
      logger: silentLogger,
      random: createRandom(epoch),
      getRules: () => rules,
      getWorkers: () => infos,
      connect: info => createGatedWorker(info.workerId, gate),
      timing: { renewMs: 1_000, leaseMs: 6_000, suspectMs: 3_000, lossMarginMs: 500 },
      carriedRecords: sharedRecords,
      shareUnwritten: async records => {
        const share = async (): Promise<void> => { sharedRecords = records }
        await (gate === undefined ? share() : gate.pass('share', share))
      },
      onDeposed: () => { deposedCount++ }
    })
  }

  function createGatedStore (gate: Gate | undefined): Store {
    const call = async <T>(name: string, run: () => Promise<T>): Promise<T> => {
      const guarded = async (): Promise<T> => {
        if (isStoreDown) throw createError(ErrorKind.StoreUnavailable, 'down')
        const result = await run()
        if (lostAnswers === 0) return result
        lostAnswers--
        throw createError(name === 'put' ? ErrorKind.AnswerLost : ErrorKind.StoreUnavailable, 'lost')
      }
      return await (gate === undefined ? guarded() : gate.pass(name, guarded))
    }
    return {
      get: key => call('get', () => store.get(key)),
      range: (prefix, options) => call('range', () => store.range(prefix, options)),
      put: write => call('put', () => store.put(write)),
      remove: (key, revision) => call('remove', () => store.remove(key, revision)),
      grantLease: ttlMs => store.grantLease(ttlMs),
      keepLease: leaseId => store.keepLease(leaseId),
      revokeLease: leaseId => store.revokeLease(leaseId),
      watch: (prefix, revision, waitMs) => store.watch(prefix, revision, waitMs)
    }
  }

  function createGatedWorker (workerId: string, gate: Gate | undefined): WorkerPort {
    const worker = workers.get(workerId) as MemoryWorker
    const call = async <T>(name: string, run: () => Promise<T>): Promise<T> => {
      const guarded = async (): Promise<T> => {
        if (cutOff.has(workerId) || (name === 'renew' && areRenewalsHeld)) throw createError(ErrorKind.AnswerLost, 'cut off')
        return await run()
      }
      return await (gate === undefined ? guarded() : gate.pass(name, guarded))
    }
    return {
      prepare: (own, task, leaseMs) => call('prepare', () => worker.prepare(own, task, leaseMs)),
      commit: (own, taskIds) => call('commit', () => worker.commit(own, taskIds)),
      release: (own, taskIds) => call('release', () => worker.release(own, taskIds)),
      stop: (own, taskIds) => call('stop', () => worker.stop(own, taskIds)),
      checkpoint: (own, taskIds) => call('checkpoint', () => worker.checkpoint(own, taskIds)),
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
        if (descriptor?.spec.jobId === jobId) parts.push(`${workerId}${cutOff.has(workerId) ? ' (cut off)' : ''} attempt ${descriptor.attempt} member ${descriptor.member} ${state} ${end ?? ''} for ${ranMs} ms`)
      }
    }
    return parts.join('; ')
  }

  /** Jobs that workers know a task of. */
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

/** Creates a job for the rig's domain. */
export function createSpec (jobId: string, changes: Partial<JobSpec> = {}): JobSpec {
  return {
    jobId: `${rigDomain}:${jobId}`,
    organisation: 'mill',
    domain: rigDomain,
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
    ...changes
  }
}

/** Whether a job has ended, by its view. */
export function isEnded (job: JobView | undefined): boolean {
  return job?.state === 'ended'
}

function toRuleSet (text: string, revision: number): RuleSet {
  return createRuleSet(parseRules(rulesHead + text).rules, revision)
}

function splitReleaseKey (key: string): readonly [string, number] {
  const dot = key.lastIndexOf('.')
  return [key.slice(0, dot), Number(key.slice(dot + 1))]
}
