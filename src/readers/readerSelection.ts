/** Divides the workers among the hosts that may read them. Does no I/O. */
import type { ListedWorker } from '../workers/workerPort.js'

/** How many hosts read a worker: the answer to one may be lost, or one may be gone. */
const hostsPerWorker = 2
/** Parameters of the 32-bit FNV-1a hash, and of the final mixing of MurmurHash3. */
const hashOffset = 0x811c9dc5
const hashPrime = 0x01000193
const mixFactor = 0x85ebca6b

interface ReaderHost {
  readonly hostId: string
  readonly domain: string
}

/**
 * Returns the workers that a host reads: those of its failure domain, and of domains without a host, for which it is among the first by a hash. If it can't know which
 * peers are alive (`isAlone`), all of these workers, those for which it comes first before the others.
 */
export function selectReaders (own: ReaderHost, peers: readonly ReaderHost[], workers: readonly ListedWorker[], isAlone: boolean): readonly ListedWorker[] {
  const hosts = [own, ...peers]
  const hostsByDomain = new Map<string, string[]>()
  for (const { hostId, domain } of hosts) hostsByDomain.set(domain, [...hostsByDomain.get(domain) ?? [], hostId])
  const all = hosts.map(({ hostId }) => hostId)
  const ranked = workers.filter(({ address }) => address !== '').map(worker => ({ worker, rank: getRank(own.hostId, hostsByDomain.get(worker.domain) ?? all, worker.workerId) }))
  const limit = isAlone ? Infinity : hostsPerWorker
  return ranked.filter(({ rank }) => rank < limit).sort((left, right) => left.rank - right.rank).map(({ worker }) => worker)
}

/** The number of hosts that come before this one for the worker; Infinity if it is not a candidate. */
function getRank (hostId: string, candidates: readonly string[], workerId: string): number {
  if (!candidates.includes(hostId)) return Infinity
  const ownHash = hash(`${workerId} ${hostId}`)
  return candidates.filter(candidate => candidate !== hostId && hash(`${workerId} ${candidate}`) < ownHash).length
}

function hash (text: string): number {
  let value = hashOffset
  for (let index = 0; index < text.length; index++) value = Math.imul(value ^ text.charCodeAt(index), hashPrime)
  // The last characters, in which host names differ, reach the upper bits by this.
  value = Math.imul(value ^ (value >>> 15), mixFactor)
  return (value ^ (value >>> 13)) >>> 0
}
