/** The platform's metadata store (PROTOCOL.md, "The platform's metadata store"), in memory. */
import { listen, noAnswer } from './http.js'

/** An answer takes 4 ms (SYSTEM.md). */
const answerMs = 4
const pageItems = 500
const pageBytes = 1_000_000
const sweepMs = 20

const encode = text => Buffer.from(text).toString('base64')
const decode = value => Buffer.from(value, 'base64').toString()

/**
 * Starts the store. `setSlowFactor(x)` makes answers take x times as long. `setLostWrites(choose)` has `choose(transaction)` return for each write
 * call how many ms later it is carried out without any answer, or undefined to carry it out and answer it.
 */
export async function startStore () {
  const items = new Map()
  const leases = new Map()
  const history = []
  const watches = new Set()
  let revision = 1
  let nextLease = 1
  let slowFactor = 1
  let chooseLost = () => undefined
  const sweep = setInterval(removeExpired, sweepMs)
  const server = await listen(handle)

  return {
    address: server.address,
    get: key => items.get(key)?.value,
    getKeys: prefix => [...items.keys()].filter(key => key.startsWith(prefix)).sort(),
    put: (key, value) => { apply([{ key, value: encode(value) }], []) },
    remove: key => { apply([], [key]) },
    setSlowFactor: factor => { slowFactor = factor },
    setLostWrites: choose => { chooseLost = choose ?? (() => undefined) },
    close: () => {
      clearInterval(sweep)
      server.close()
    }
  }

  async function handle (method, url, body) {
    const query = url.searchParams
    const [call, id] = url.pathname.replace('/sassafrasford/', '').split('/')
    const result = await carryOut(`${method} ${call}`, id, query, body)
    if (result !== noAnswer) await new Promise(resolve => { setTimeout(resolve, answerMs * slowFactor) })
    return result
  }

  async function carryOut (call, id, query, body) {
    switch (call) {
      case 'GET kv-key': {
        const item = items.get(query.get('key'))
        return item === undefined ? { status: 404, body: { currentRev: revision } } : { status: 200, body: { ...toWire(item), currentRev: revision } }
      }
      case 'GET kv-range':
        return { status: 200, body: getPage(query.get('prefix'), query.get('after')) }
      case 'GET kv-watch':
        return await watch(query.get('prefix'), Number(query.get('after')), Number(query.get('waitMs')))
      case 'POST kv-txn': {
        const lateMs = chooseLost(body)
        if (lateMs === undefined) return transact(body)
        setTimeout(() => { transact(body) }, lateMs)
        return noAnswer
      }
      case 'POST kv-lease': {
        const lease = nextLease++
        leases.set(lease, { ttlMs: body.ttlMs, endsAtMs: performance.now() + body.ttlMs })
        return { status: 200, body: { lease, ttlMs: body.ttlMs } }
      }
      case 'POST kv-keep': {
        const lease = leases.get(Number(id))
        if (lease === undefined) return { status: 404 }
        lease.endsAtMs = performance.now() + lease.ttlMs
        return { status: 200, body: {} }
      }
      case 'DELETE kv-lease-end':
        endLease(Number(id))
        return { status: 200 }
      default:
        return { status: 404 }
    }
  }

  /** At most about 500 items or 1 MB; the next page begins after the last key. */
  function getPage (prefix, after) {
    const keys = [...items.keys()].filter(key => key.startsWith(prefix) && (after === null || key > after)).sort()
    const page = []
    let bytes = 0
    for (const key of keys) {
      if (page.length >= pageItems || bytes >= pageBytes) break
      const item = items.get(key)
      page.push(toWire(item))
      bytes += item.value.length
    }
    return { items: page, morePages: page.length < keys.length, currentRev: revision }
  }

  function watch (prefix, after, waitMs) {
    const events = history.filter(event => event.rev > after && event.key.startsWith(prefix))
    if (events.length > 0) return { status: 200, body: { events, currentRev: revision } }
    return new Promise(resolve => {
      const waiting = { prefix, finish }
      const timer = setTimeout(finish, waitMs)
      watches.add(waiting)

      function finish () {
        clearTimeout(timer)
        watches.delete(waiting)
        resolve({ status: 200, body: { events: history.filter(event => event.rev > after && event.key.startsWith(prefix)), currentRev: revision } })
      }
    })
  }

  function transact ({ expected = [], writes = [], remove = [] }) {
    const holds = expected.every(({ key, rev }) => (items.get(key)?.rev ?? 0) === rev)
    if (!holds) return { status: 412, body: { items: expected.flatMap(({ key }) => items.has(key) ? [toWire(items.get(key))] : []) } }
    if (writes.some(({ lease = 0 }) => lease !== 0 && !leases.has(lease))) return { status: 404 }
    apply(writes, remove)
    return { status: 200, body: { rev: revision } }
  }

  function apply (writes, removes) {
    revision++
    const keys = []
    for (const { key, value, lease = 0 } of writes) {
      const item = { key, value: decode(value), rev: revision, created: items.get(key)?.created ?? revision, lease }
      items.set(key, item)
      history.push(toWire(item))
      keys.push(key)
    }
    for (const key of removes) {
      if (!items.delete(key)) continue
      history.push({ key, rev: revision, tombstone: true })
      keys.push(key)
    }
    for (const { prefix, finish } of [...watches]) if (keys.some(key => key.startsWith(prefix))) finish()
  }

  function endLease (lease) {
    if (!leases.delete(lease)) return
    const keys = [...items.values()].filter(item => item.lease === lease).map(({ key }) => key)
    if (keys.length > 0) apply([], keys)
  }

  function removeExpired () {
    for (const [lease, { endsAtMs }] of leases) if (endsAtMs <= performance.now()) endLease(lease)
  }
}

function toWire ({ key, value, rev, created, lease }) {
  return { key, value: encode(value), rev, created, lease }
}
