/** Stand-in of the platform's metadata store, after PROTOCOL.md. One listener for each machine of the system, so that calls can be told apart by their sender. */
import { createServer } from 'node:http'

const maxPageItems = 500
const historyMs = 20_000
const answerMs = 4

export function createStore () {
  const items = new Map()
  const leases = new Map()
  const watchers = new Set()
  const servers = []
  /** The latest writes under a condition, by sender. */
  const conditionalWrites = []
  let events = []
  let droppedRev = 0
  let rev = 10
  let nextLease = 100

  return { listen, put, remove, get: key => items.get(key), getMainWriter, close }

  function change (writes, removes) {
    rev++
    const atMs = performance.now()
    for (const { key, value, lease = 0 } of writes) {
      const previous = items.get(key)
      const item = { key, value, rev, created: previous?.created ?? rev, lease }
      items.set(key, item)
      if (lease !== 0) leases.get(lease)?.keys.add(key)
      events.push({ rev, key, item, atMs })
    }
    for (const key of removes) if (items.delete(key)) events.push({ rev, key, atMs })
    const keptFrom = events.findIndex(event => atMs - event.atMs < historyMs)
    if (keptFrom > 0) {
      droppedRev = events[keptFrom - 1].rev
      events = events.slice(keptFrom)
    }
    for (const watcher of [...watchers]) watcher()
  }

  /** A write of the operator or of a worker. */
  function put (key, text) {
    change([{ key, value: Buffer.from(text).toString('base64') }], [])
  }

  function remove (key) {
    if (items.has(key)) change([], [key])
  }

  /** The machine that has made the most writes under a condition in the last two seconds. */
  function getMainWriter () {
    const counts = new Map()
    for (const { sender, atMs } of conditionalWrites) if (performance.now() - atMs < 2_000) counts.set(sender, (counts.get(sender) ?? 0) + 1)
    return [...counts].sort((left, right) => right[1] - left[1])[0]?.[0]
  }

  function startLease (ttlMs) {
    const id = nextLease++
    leases.set(id, { ttlMs, keys: new Set(), timer: undefined })
    extendLease(id)
    return id
  }

  function extendLease (id) {
    const lease = leases.get(id)
    clearTimeout(lease.timer)
    lease.timer = setTimeout(() => { endLease(id) }, lease.ttlMs)
  }

  function endLease (id) {
    const lease = leases.get(id)
    if (lease === undefined) return
    clearTimeout(lease.timer)
    leases.delete(id)
    const keys = [...lease.keys].filter(key => items.get(key)?.lease === id)
    if (keys.length > 0) change([], keys)
  }

  async function listen (ip, sender, mayAnswer = () => true) {
    const server = createServer((request, response) => {
      const chunks = []
      request.on('data', chunk => { chunks.push(chunk) })
      request.on('end', () => {
        const text = Buffer.concat(chunks).toString()
        const url = new URL(request.url, 'http://store')
        answer(sender, request.method, url, text === '' ? {} : JSON.parse(text), response).then(({ status, body }) => {
          setTimeout(() => {
            if (!mayAnswer()) return
            response.writeHead(status, { 'Content-Type': 'application/json' })
            response.end(body === undefined ? '' : JSON.stringify(body))
          }, answerMs)
        }, () => { response.destroy() })
      })
    })
    server.keepAliveTimeout = 60_000
    servers.push(server)
    await new Promise((resolve, reject) => {
      server.once('error', reject)
      server.listen(0, ip, resolve)
    })
    return `${ip}:${server.address().port}`
  }

  async function answer (sender, method, url, body, response) {
    const [call, id] = url.pathname.replace('/sassafrasford/', '').split('/')
    const query = url.searchParams
    switch (`${method} ${call}`) {
      case 'GET kv-key': {
        const item = items.get(query.get('key'))
        return item === undefined ? { status: 404 } : { status: 200, body: item }
      }
      case 'GET kv-range': {
        const prefix = query.get('prefix')
        const after = query.get('after')
        const found = [...items.values()].filter(({ key }) => key.startsWith(prefix) && (after === null || key > after)).sort((left, right) => left.key < right.key ? -1 : 1)
        const page = []
        let bytes = 0
        for (const item of found) {
          if (page.length === maxPageItems || (page.length > 0 && bytes + item.value.length > 1_048_576)) break
          page.push(item)
          bytes += item.value.length
        }
        return { status: 200, body: { items: page, morePages: page.length < found.length, currentRev: rev } }
      }
      case 'GET kv-watch':
        return await watch(query.get('prefix'), Number(query.get('after')), Number(query.get('waitMs')), response)
      case 'POST kv-txn':
        return transact(sender, body)
      case 'POST kv-lease': {
        const ttlMs = Math.min(600_000, Math.max(1_000, body.ttlMs))
        return { status: 200, body: { lease: startLease(ttlMs), ttlMs } }
      }
      case 'POST kv-keep':
        if (!leases.has(Number(id))) return { status: 404 }
        extendLease(Number(id))
        return { status: 200, body: {} }
      case 'DELETE kv-lease-end':
        endLease(Number(id))
        return { status: 200, body: {} }
      default:
        return { status: 404 }
    }
  }

  async function watch (prefix, after, waitMs, response) {
    if (after < droppedRev) return { status: 410 }
    const find = () => events.filter(event => event.rev > after && event.key.startsWith(prefix))
    if (find().length === 0) {
      await new Promise(resolve => {
        const timer = setTimeout(finish, waitMs)
        const watcher = () => { if (find().length > 0) finish() }
        watchers.add(watcher)
        response.once('close', finish)
        function finish () {
          clearTimeout(timer)
          watchers.delete(watcher)
          resolve()
        }
      })
    }
    return { status: 200, body: { events: find().map(({ rev: eventRev, key, item }) => item === undefined ? { key, rev: eventRev, tombstone: true } : item), currentRev: rev } }
  }

  function transact (sender, { expected = [], writes = [], remove: removes = [] }) {
    if (expected.length + writes.length + removes.length > 32) return { status: 400 }
    if ([...writes.map(({ key }) => key), ...removes].some(key => key.startsWith('op/') || key.startsWith('servers/'))) return { status: 403 }
    if (writes.some(({ value }) => Buffer.byteLength(value, 'base64') > 1_048_576)) return { status: 400 }
    if (writes.some(({ lease = 0 }) => lease !== 0 && !leases.has(lease))) return { status: 404 }
    if (expected.some(({ key, rev: expectedRev }) => (items.get(key)?.rev ?? 0) !== expectedRev)) return { status: 412, body: { items: expected.flatMap(({ key }) => items.get(key) ?? []) } }
    if (expected.length > 0) conditionalWrites.push({ sender, atMs: performance.now() })
    change(writes, removes)
    return { status: 200, body: { rev } }
  }

  function close () {
    for (const { timer } of leases.values()) clearTimeout(timer)
    for (const server of servers) {
      server.close()
      server.closeAllConnections()
    }
  }
}
