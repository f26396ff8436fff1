/**
 * Maps a domain's accelerators to the leaves of the block index, so that those of one worker, of one rack and of neighbouring
 * racks lie side by side.
 */
import { assert } from '../common/assertions.js'
import { getLevelOf, maxBlockSize } from './blockIndex.js'
import type { WorkerInfo } from './workerTypes.js'

/** The leaves of one worker: `span` aligned leaves. The first `info.accelerators` of them have an accelerator, the rest are padding. */
export interface WorkerLeaves {
  readonly info: WorkerInfo
  readonly start: number
  readonly span: number
}

/** The mapping between the workers of a domain and the leaves of the block index. */
export interface Topology {
  /** Adds workers, skipping those that were added before. Returns the new ones. */
  addWorkers (workers: readonly WorkerInfo[]): readonly WorkerLeaves[]
  get (workerId: string): WorkerLeaves | undefined
  getAt (leaf: number): WorkerLeaves | undefined
  getWorkers (): Iterable<WorkerLeaves>
  /** Number of leaves, rounded up to a multiple of `maxBlockSize`. */
  getLeafCount (): number
}

/** A range of leaves that is assigned to one rack. */
interface Region {
  readonly start: number
  readonly size: number
  used: number
}

/** Creates a topology without workers. */
export function createTopology (): Topology {
  const workers = new Map<string, WorkerLeaves>()
  const byLeaf: (WorkerLeaves | undefined)[] = []
  const regions = new Map<string, Region[]>()
  let nextLeaf = 0

  return {
    addWorkers,
    get: workerId => workers.get(workerId),
    getAt: leaf => byLeaf[leaf],
    getWorkers: () => workers.values(),
    getLeafCount: () => Math.ceil(nextLeaf / maxBlockSize) * maxBlockSize
  }

  function addWorkers (infos: readonly WorkerInfo[]): readonly WorkerLeaves[] {
    const added = infos.filter(info => !workers.has(info.workerId))
    const racks = groupByRack(added)
    const sorted = [...racks].sort(([leftRack, left], [rightRack, right]) =>
      getRackSpan(right) - getRackSpan(left) || leftRack.localeCompare(rightRack))
    return sorted.flatMap(([rack, members]) => addRack(rack, members))
  }

  function addRack (rack: string, members: readonly WorkerInfo[]): WorkerLeaves[] {
    const sorted = [...members].sort((left, right) => getSpan(right) - getSpan(left) || left.workerId.localeCompare(right.workerId))
    let remaining = getRackSpan(members)
    return sorted.map(info => {
      const leaves = { info, start: allocateLeaves(rack, getSpan(info), remaining), span: getSpan(info) }
      remaining -= leaves.span
      workers.set(info.workerId, leaves)
      for (let offset = 0; offset < leaves.span; offset++) byLeaf[leaves.start + offset] = leaves
      return leaves
    })
  }

  function allocateLeaves (rack: string, span: number, remaining: number): number {
    if (span === 0) return 0
    const rackRegions = regions.get(rack) ?? []
    regions.set(rack, rackRegions)
    let region = rackRegions.find(candidate => alignUp(candidate.used, span) + span <= candidate.size)
    if (region === undefined) {
      region = createRegion(Math.min(maxBlockSize, 1 << getLevelOf(remaining)))
      rackRegions.push(region)
    }
    const offset = alignUp(region.used, span)
    region.used = offset + span
    assert((region.start + offset) % span === 0, 'the leaves of a worker are an aligned block')
    return region.start + offset
  }

  function createRegion (size: number): Region {
    const start = alignUp(nextLeaf, size)
    nextLeaf = start + size
    return { start, size, used: 0 }
  }
}

function getSpan (info: WorkerInfo): number {
  return info.accelerators === 0 ? 0 : 1 << getLevelOf(info.accelerators)
}

function getRackSpan (members: readonly WorkerInfo[]): number {
  return members.reduce((sum, info) => sum + getSpan(info), 0)
}

function alignUp (value: number, size: number): number {
  return Math.ceil(value / size) * size
}

function groupByRack (infos: readonly WorkerInfo[]): Map<string, WorkerInfo[]> {
  const racks = new Map<string, WorkerInfo[]>()
  for (const info of infos) racks.set(info.rack, [...racks.get(info.rack) ?? [], info])
  return racks
}
