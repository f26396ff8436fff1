/** Divides the workers among the hosts that may read them. Does no I/O. */
import type { ListedWorker } from '../workers/workerPort.js'

/** How many hosts read a worker: the answer to one may be lost, or one may be gone. */
const hostsPerWorker = 2
/** Parameters of the 32-bit FNV-1a hash. */
const hashOffset = 0x811c9dc5
const hashPrime = 0x01000193

interface ReaderHost {
  readonly hostId: string
  readonly domain: string
}

/** Returns the workers that a host reads: those of its failure domain for which it comes first by a hash, and of domains without a host. */
export function selectReaders (own: ReaderHost, peers: readonly ReaderHost[], workers: readonly ListedWorker[]): readonly ListedWorker[] {
  const hosts = [own, ...peers]
  const hostsByDomain = new Map<string, string[]>()
  for (const { hostId, domain } of hosts) hostsByDomain.set(domain, [...hostsByDomain.get(domain) ?? [], hostId])
  const all = hosts.map(({ hostId }) => hostId)
  return workers.filter(({ workerId, domain, address }) => address !== '' && isReader(own.hostId, hostsByDomain.get(domain) ?? all, workerId))
}

function isReader (hostId: string, candidates: readonly string[], workerId: string): boolean {
  if (!candidates.includes(hostId)) return false
  const ownHash = hash(`${workerId} ${hostId}`)
  return candidates.filter(candidate => candidate !== hostId && hash(`${workerId} ${candidate}`) < ownHash).length < hostsPerWorker
}

function hash (text: string): number {
  let value = hashOffset
  for (let index = 0; index < text.length; index++) value = Math.imul(value ^ text.charCodeAt(index), hashPrime)
  // The last characters, in which host names differ, reach the upper bits by this.
  value = Math.imul(value ^ (value >>> 15), 0x85ebca6b)
  return (value ^ (value >>> 13)) >>> 0
}
