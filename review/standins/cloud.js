/** The platform's machines (PROTOCOL.md, "Machines"): a list, and upkeep. */
import { listen } from './http.js'

/** Starts the service for the machines of the given workers; a new worker joins `upkeepMs` after an upkeep has begun. */
export async function startCloud ({ workers, service, upkeepMs, onEvent }) {
  const done = new Set()
  const busyUntilMs = new Map()
  const ids = new Map()
  const server = await listen(async (method, url, body) => {
    if (url.pathname === '/sassafrasford/machines') return { status: 200, body: { machines: workers().map(toEntry), nextToken: '' } }
    if (url.pathname !== '/sassafrasford/machine-upkeep') return { status: 404 }
    const worker = workers().find(({ machine }) => machine === body.machine)
    if (worker === undefined) return { status: 400 }
    const key = `${body.wave} ${body.machine}`
    if (done.has(key)) return { status: 200, body: {} }
    done.add(key)
    const newId = `${ids.get(body.machine) ?? worker.id}u`
    ids.set(body.machine, newId)
    onEvent('upkeep', { machine: body.machine, wave: body.wave })
    busyUntilMs.set(body.machine, performance.now() + upkeepMs)
    worker.replaceAfter(newId, upkeepMs)
    return { status: 200, body: {} }
  })
  return { address: server.address, close: () => { server.close() } }

  function toEntry ({ machine, id }) {
    const isUp = performance.now() >= (busyUntilMs.get(machine) ?? -Infinity)
    return { machine, pool: service, state: isUp ? 'up' : 'upkeep', zone: 'bkk-a', labels: [], capacity: {}, id: isUp ? ids.get(machine) ?? id : null }
  }
}
