/** Stand-in of one worker, after PROTOCOL.md, and its entry in the store. It has one address for all of its lives. */
import { createServer } from 'node:http'

const heartbeatMs = 1_500
const stopMs = 60

/**
 * `getRun(task)` tells how a subtask behaves: `{ ms }` or, if it lasts, `{ lastsAfterMs }`. `onEvent(kind, fields)` is called with what is begun and ended.
 */
export function createWorker ({ store, service, zone, rack, id, machine, ip, capacity, holdMaxMs, getRun, onEvent }) {
  let server
  let address
  let isUp = false
  let bornMs = 0
  let startedMs = 0
  let fence = 0
  let leaseEndMs
  let leaseTimer
  let nextEnd = 1
  let running = new Map()
  let ended = []
  /** The highest run of each subtask that was stopped or has ended here. */
  let overRuns = new Map()
  let waiting = new Set()
  let seq = 0
  let silentSinceMs
  let answeredAtMs = -Infinity
  /** The entry changes only when more than `seq` changes, so that a report is written if the entry is missing. */
  const beat = setInterval(() => { if (isUp && store.get(`servers/${id}`) === undefined) writeEntry() }, heartbeatMs)

  return { id, machine, start, crash, leaveSilently: crash, fail, getAnsweredAtMs: () => answeredAtMs, getTasks: () => [...running.keys()], isUp: () => isUp, close }

  async function start () {
    if (server === undefined) {
      server = createServer(onRequest)
      server.keepAliveTimeout = 60_000
      server.on('connection', socket => { if (!isUp) socket.resetAndDestroy() })
      await new Promise((resolve, reject) => {
        server.once('error', reject)
        server.listen(0, ip, resolve)
      })
      address = `${ip}:${server.address().port}`
    }
    bornMs = Date.now()
    startedMs = performance.now()
    fence = 0
    leaseEndMs = undefined
    nextEnd = 1
    ended = []
    overRuns = new Map()
    isUp = true
    writeEntry()
  }

  /** Everything here ends, and nothing is sent. The entry goes away after three status report intervals. */
  function crash () {
    isUp = false
    clearTimeout(leaseTimer)
    for (const run of running.values()) {
      clearTimeout(run.timer)
      onEvent('lost', { worker: id, task: run.task, run: run.run })
    }
    running = new Map()
    waiting = new Set()
    server.closeAllConnections()
    silentSinceMs = performance.now()
    const since = silentSinceMs
    setTimeout(() => { if (!isUp && silentSinceMs === since) store.remove(`servers/${id}`) }, 3 * heartbeatMs).unref()
  }

  /** Ends what runs of a job, by its own fault. */
  function fail (jobId) {
    for (const run of [...running.values()]) if (run.task.startsWith(jobId)) end(run, 'failed')
  }

  function close () {
    clearInterval(beat)
    clearTimeout(leaseTimer)
    for (const { timer } of running.values()) clearTimeout(timer)
    server?.close()
    server?.closeAllConnections()
  }

  function writeEntry () {
    seq++
    store.put(`servers/${id}`, JSON.stringify({ service, addr: address, zone, version: '1', slots: 8, state: 'ready', coldLeftMs: 0, seq, born: bornMs, machine, capacity, labels: ['a', rack] }))
  }

  function getClockMs () {
    return Math.floor(performance.now() - startedMs)
  }

  function onRequest (request, response) {
    const chunks = []
    request.on('data', chunk => { chunks.push(chunk) })
    request.on('end', () => {
      if (!isUp) return
      const life = bornMs
      const send = (status, body) => {
        if (!isUp || life !== bornMs) return
        response.writeHead(status, { 'Content-Type': 'application/json' })
        response.end(JSON.stringify({ clockMs: getClockMs(), ...body }))
      }
      if ((request.headers['expect-instance'] ?? id) !== id) send(421)
      else answer(request.url.replace('/sassafrasford/', ''), JSON.parse(Buffer.concat(chunks).toString()), send)
    })
  }

  function answer (call, body, send) {
    if ((body.fence ?? 0) < fence) {
      send(409, { reason: 'fence' })
      return
    }
    fence = body.fence ?? 0
    switch (call) {
      case 'run-start':
        startRun(body, send)
        return
      case 'run-stop':
        stopRun(body)
        send(200)
        return
      case 'pace':
        send(200)
        return
      case 'hold':
        extendLease(body.deadlineMs)
        ended = ended.filter(([number]) => number > (body.seenUpto ?? 0))
        report(body.waitMs ?? 0, send)
        return
      default:
        send(400)
    }
  }

  /** It never shortens. */
  function extendLease (deadlineMs) {
    if (deadlineMs === undefined) return
    const limitedMs = Math.min(deadlineMs, getClockMs() + holdMaxMs)
    if (limitedMs <= (leaseEndMs ?? -Infinity)) return
    leaseEndMs = limitedMs
    clearTimeout(leaseTimer)
    leaseTimer = setTimeout(() => { for (const run of [...running.values()]) end(run, 'lapsed') }, limitedMs - getClockMs())
  }

  function startRun ({ task, run, deadlineMs }, send) {
    const current = running.get(task)
    if (current?.run === run) {
      extendLease(deadlineMs)
      send(200)
      return
    }
    if (deadlineMs !== undefined && deadlineMs <= getClockMs()) {
      send(409, { reason: 'late' })
      return
    }
    extendLease(deadlineMs)
    if (current !== undefined || run <= (overRuns.get(task) ?? 0)) {
      send(409, { reason: 'old' })
      return
    }
    const { ms, lastsAfterMs } = getRun(task)
    const started = { task, run, atMs: performance.now(), ms, lastsAfterMs, timer: undefined }
    if (ms !== undefined) started.timer = setTimeout(() => { end(started, 'done') }, ms)
    running.set(task, started)
    onEvent('start', { worker: id, task, run, fence })
    send(200)
  }

  function stopRun ({ task, run }) {
    overRuns.set(task, Math.max(run, overRuns.get(task) ?? 0))
    const current = running.get(task)
    if (current === undefined || current.run > run || current.isStopping === true) return
    current.isStopping = true
    setTimeout(() => { if (running.get(task) === current) end(current, 'stopped') }, stopMs)
  }

  function end (run, how) {
    clearTimeout(run.timer)
    running.delete(run.task)
    overRuns.set(run.task, Math.max(run.run, overRuns.get(run.task) ?? 0))
    ended.push([nextEnd++, run.task, run.run, how, ''])
    onEvent('end', { worker: id, task: run.task, run: run.run, how })
    for (const notify of [...waiting]) notify()
  }

  function report (waitMs, send) {
    const sendLists = () => {
      answeredAtMs = performance.now()
      send(200, { born: bornMs, running: [...running.values()].map(toRow), ended: ended.slice(0, 500) })
    }
    if (ended.length > 0 || waitMs === 0) {
      sendLists()
      return
    }
    const timer = setTimeout(finish, waitMs)
    waiting.add(finish)
    function finish () {
      clearTimeout(timer)
      if (waiting.delete(finish)) sendLists()
    }
  }

  function toRow ({ task, run, atMs, ms, lastsAfterMs }) {
    const ranMs = performance.now() - atMs
    const percent = ms === undefined ? (ranMs >= lastsAfterMs ? 100 : 0) : Math.min(99, Math.floor(100 * ranMs / ms))
    return [task, run, '', percent, 0]
  }
}
