/** A worker (PROTOCOL.md, "Running subtasks" and "Service discovery"). */
import { listen, noAnswer } from './http.js'

const sweepMs = 20
/** A crashed worker's entry is removed after three status report intervals of silence. */
const silentIntervals = 3

/**
 * Starts a worker. `getWork(task, run, spec)` tells `{ workMs, how }` of a run, or `{ isLasting: true }`. `onEvent(kind, fields)` is called for
 * each start and each end.
 */
export async function startWorker ({ id, machine, service, zone, labels, capacity, store, bounds, heartbeatMs, getWork, onEvent }) {
  const { holdMaxMs, stopMs } = bounds
  let bornAtMs = Date.now()
  let bornSteadyMs = performance.now()
  let sequence = 1
  let state = createState()
  let isDown = false
  let refusesStarts = false
  let entryState = 'ready'
  let chooseLateMs = () => undefined
  let isCut = false
  let silenceTimer
  const sweep = setInterval(update, sweepMs)
  const server = await listen(handle)
  writeEntry()

  return {
    id,
    machine,
    address: server.address,
    getRunning: () => [...state.running.values()].map(({ task, run }) => ({ task, run })),
    /** While set, starts are rejected with 503, as an unhealthy worker does, and nothing is done. */
    setRefusing: isRefusing => { refusesStarts = isRefusing },
    /** `choose({ task, run })` returns how many ms later a start is carried out without any answer, or undefined to carry it out and answer it. */
    setLateStarts: choose => { chooseLateMs = choose ?? (() => undefined) },
    /** Partitions the worker from the hosts and the store, or ends that: its connections are reset, and it writes no entry. What runs here goes on. */
    setCut (isCutNow) {
      onEvent(isCutNow ? 'cut' : 'cut ends', { worker: id })
      isCut = isCutNow
      server.setDown(isCut)
      clearTimeout(silenceTimer)
      if (isCut) silenceTimer = setTimeout(() => { store.remove(`servers/${id}`) }, silentIntervals * heartbeatMs)
      else writeEntry()
    },
    /** Crashes behind a cut, and starts again there under the same id after `awayMs`. */
    crashBehindCut (awayMs) {
      onEvent('crash', { worker: id, running: [...state.running.keys()] })
      isDown = true
      state = createState()
      setTimeout(() => {
        onEvent('start of a new life', { worker: id })
        begin(id)
      }, awayMs)
    },
    /** The worker runs nothing any more, and its connections are reset. */
    crash () {
      onEvent('crash', { worker: id, running: [...state.running.keys()] })
      isDown = true
      state = createState()
      server.setDown(true)
      silenceTimer = setTimeout(() => { store.remove(`servers/${id}`) }, silentIntervals * heartbeatMs)
    },
    /** Starts a new incarnation under the same id and address; it knows nothing of before. */
    restart () {
      clearTimeout(silenceTimer)
      begin(id)
    },
    /** Reports that it drains, as before a planned shutdown. */
    drain () {
      onEvent('drain', { worker: id, running: [...state.running.keys()] })
      entryState = 'draining'
      writeEntry()
    },
    /** Leaves: what runs here terminates, and the entry is removed. */
    leave () {
      onEvent('leave', { worker: id, running: [...state.running.keys()] })
      isDown = true
      state = createState()
      server.setDown(true)
      store.remove(`servers/${id}`)
    },
    /** Everything that runs here ends at once, and a new worker starts on the machine after `awayMs`. */
    replaceAfter (newId, awayMs) {
      for (const held of [...state.running.values()]) onEvent('end', { worker: id, task: held.task, run: held.run, how: 'upkeep' })
      isDown = true
      state = createState()
      server.setDown(true)
      store.remove(`servers/${id}`)
      setTimeout(() => { begin(newId) }, awayMs)
    },
    close () {
      clearInterval(sweep)
      clearTimeout(silenceTimer)
      server.close()
    }
  }

  function createState () {
    return { fence: 0, leaseEndsMs: 0, running: new Map(), ended: [], nextEnd: 1, rejectedRuns: new Map(), waiting: new Set() }
  }

  function begin (newId) {
    id = newId
    isDown = false
    bornAtMs = Date.now()
    bornSteadyMs = performance.now()
    sequence = 1
    entryState = 'ready'
    state = createState()
    if (isCut) return
    server.setDown(false)
    writeEntry()
  }

  function writeEntry () {
    store.put(`servers/${id}`, JSON.stringify({ service, addr: server.address, zone, version: 'v1', slots: 8, state: entryState, ...(entryState === 'draining' ? { remainingMs: bounds.drainMs } : {}), coldLeftMs: 0, capacity, labels, machine, born: bornAtMs, clockMs: getClockMs(), seq: sequence++ }))
  }

  function getClockMs () {
    return Math.floor(performance.now() - bornSteadyMs) + 1_000
  }

  async function handle (method, url, body, headers) {
    if (isDown) throw new Error('the worker is down')
    if (headers['expect-instance'] !== undefined && headers['expect-instance'] !== id) return { status: 421, body: { clockMs: getClockMs() } }
    const call = url.pathname.replace('/sassafrasford/', '')
    if (body.fence < state.fence) return reject('fence')
    if (call === 'run-start' && refusesStarts) {
      onEvent('refused', { worker: id, task: body.task, run: body.run })
      return { status: 503 }
    }
    const lateMs = call === 'run-start' ? chooseLateMs(body) : undefined
    if (lateMs !== undefined) {
      onEvent('a start gets no answer and is carried out late', { worker: id, task: body.task, run: body.run, lateMs })
      setTimeout(() => { carryOutLate(body) }, lateMs)
      return noAnswer
    }
    return await carryOut(call, body)
  }

  function carryOutLate (body) {
    if (isDown || (body.fence ?? 0) < state.fence) return
    onEvent('a late start is carried out', { worker: id, task: body.task, run: body.run })
    carryOut('run-start', body).catch(() => {})
  }

  async function carryOut (call, body) {
    state.fence = Math.max(state.fence, body.fence ?? 0)
    if (body.deadlineMs !== undefined) state.leaseEndsMs = Math.max(state.leaseEndsMs, Math.min(body.deadlineMs, getClockMs() + holdMaxMs))
    if (call === 'run-start') return start(body)
    if (call === 'run-stop') return stop(body)
    if (call === 'hold') return await hold(body)
    return { status: call === 'pace' ? 200 : 404, body: { clockMs: getClockMs() } }
  }

  function reject (reason) {
    return { status: 409, body: { clockMs: getClockMs(), reason } }
  }

  function start ({ task, run, spec, checkpointed = '' }) {
    const held = state.running.get(task)
    if (held?.run === run) return { status: 200, body: { clockMs: getClockMs() } }
    if (held !== undefined || run <= (state.rejectedRuns.get(task) ?? 0)) return reject('old')
    if (state.leaseEndsMs <= getClockMs()) return reject('late')
    const work = getWork(task, run, spec)
    const begun = { task, run, startedAtMs: performance.now(), work, checkpointed }
    state.running.set(task, begun)
    onEvent('start', { worker: id, task, run })
    const life = state
    if (work.isLasting !== true) setTimeout(() => { if (life === state) end(begun, work.how ?? 'done') }, work.workMs)
    return { status: 200, body: { clockMs: getClockMs() } }
  }

  function stop ({ task, run }) {
    onEvent('stop accepted', { worker: id, task, run })
    state.rejectedRuns.set(task, Math.max(run, state.rejectedRuns.get(task) ?? 0))
    const held = state.running.get(task)
    const life = state
    if (held !== undefined && held.run <= run) setTimeout(() => { if (life === state) end(held, 'stopped') }, stopMs / 4)
    return { status: 200, body: { clockMs: getClockMs() } }
  }

  function end (held, how) {
    const { task, run } = held
    if (state.running.get(task) !== held) return
    state.running.delete(task)
    state.rejectedRuns.set(task, Math.max(run, state.rejectedRuns.get(task) ?? 0))
    state.ended.push([state.nextEnd++, task, run, how, ''])
    onEvent('end', { worker: id, task, run, how })
    for (const wake of [...state.waiting]) wake()
  }

  async function hold ({ seenUpto = 0, waitMs = 0 }) {
    const life = state
    life.ended = life.ended.filter(([number]) => number > seenUpto)
    if (life.ended.length === 0 && waitMs > 0) await waitForEnd(life, waitMs)
    if (life !== state) throw new Error('the worker has crashed')
    return { status: 200, body: { clockMs: getClockMs(), born: bornAtMs, running: [...life.running.values()].map(toRow), ended: life.ended.slice(0, 500) } }
  }

  function waitForEnd (life, waitMs) {
    return new Promise(resolve => {
      const timer = setTimeout(wake, waitMs)
      life.waiting.add(wake)

      function wake () {
        clearTimeout(timer)
        life.waiting.delete(wake)
        resolve()
      }
    })
  }

  function toRow ({ task, run, startedAtMs, work }) {
    const workedMs = performance.now() - startedAtMs
    const percent = work.isLasting === true ? (workedMs > 300 ? 100 : 0) : Math.min(99, Math.floor(100 * workedMs / work.workMs))
    return [task, run, '', percent, 0]
  }

  /** When the lease expires, everything is killed. */
  function update () {
    if (state.running.size === 0 || getClockMs() <= state.leaseEndsMs) return
    for (const held of [...state.running.values()]) end(held, 'lapsed')
  }
}
