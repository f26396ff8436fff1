/**
 * Allocates processors and memory to members without accelerators. On a worker with accelerators these members
 * use only the fraction that is assigned to no accelerator, so they never keep a guarantee from being used.
 */
import type { WorkerInfo } from './workerTypes.js'

/** The processors and memory that one member without accelerators needs. */
export interface ProcessorRequest {
  readonly processors: number
  readonly memoryBytes: number
}

/** The free processors and memory of a domain's workers. */
export interface ProcessorPool {
  addWorker (info: WorkerInfo): void
  setUsable (workerId: string, isUsable: boolean): void
  /** Allocates for all members, or for none. Returns the worker of each member. */
  tryAllocate (members: number, request: ProcessorRequest): readonly string[] | undefined
  /** Allocates for a member that already runs on the worker. */
  allocate (workerId: string, request: ProcessorRequest): void
  release (workerId: string, request: ProcessorRequest): void
  /** Returns whether the members would fit if nothing were allocated. */
  canFitWhenEmpty (members: number, request: ProcessorRequest): boolean
}

/** The fraction of the processors and memory of a worker with accelerators that is assigned to no accelerator. */
export const sharedFraction = 1 / 8

interface WorkerCapacity {
  readonly info: WorkerInfo
  readonly processors: number
  readonly memoryBytes: number
  freeProcessors: number
  freeMemoryBytes: number
  isUsable: boolean
  bucket: number
}

const bucketCount = 16

/** Creates a pool without workers. */
export function createProcessorPool (): ProcessorPool {
  const workers = new Map<string, WorkerCapacity>()
  /** Usable workers by the binary logarithm of their free processors. */
  const buckets: Set<WorkerCapacity>[] = Array.from({ length: bucketCount }, () => new Set<WorkerCapacity>())

  return { addWorker, setUsable, tryAllocate, allocate, release, canFitWhenEmpty }

  function addWorker (info: WorkerInfo): void {
    if (workers.has(info.workerId)) return
    const fraction = info.accelerators > 0 ? sharedFraction : 1
    const processors = info.processors * fraction
    const memoryBytes = info.memoryBytes * fraction
    const worker: WorkerCapacity = { info, processors, memoryBytes, freeProcessors: processors, freeMemoryBytes: memoryBytes, isUsable: false, bucket: 0 }
    workers.set(info.workerId, worker)
    setUsable(info.workerId, true)
  }

  function setUsable (workerId: string, isUsable: boolean): void {
    const worker = workers.get(workerId)
    if (worker === undefined || worker.isUsable === isUsable) return
    worker.isUsable = isUsable
    if (isUsable) updateBucket(worker)
    else buckets[worker.bucket]?.delete(worker)
  }

  function tryAllocate (members: number, request: ProcessorRequest): readonly string[] | undefined {
    const allocated: string[] = []
    for (let member = 0; member < members; member++) {
      const worker = findWorker(request)
      if (worker === undefined) {
        for (const workerId of allocated) release(workerId, request)
        return undefined
      }
      adjustFree(worker, request, -1)
      allocated.push(worker.info.workerId)
    }
    return allocated
  }

  /** Best fit by bucket: of the workers that can hold the request, those with the fewest free processors come first. */
  function findWorker (request: ProcessorRequest): WorkerCapacity | undefined {
    for (let bucket = getBucket(request.processors); bucket < bucketCount; bucket++) {
      for (const worker of buckets[bucket] as Set<WorkerCapacity>) {
        if (worker.freeProcessors >= request.processors && worker.freeMemoryBytes >= request.memoryBytes) return worker
      }
    }
    return undefined
  }

  function allocate (workerId: string, request: ProcessorRequest): void {
    const worker = workers.get(workerId)
    if (worker !== undefined) adjustFree(worker, request, -1)
  }

  function release (workerId: string, request: ProcessorRequest): void {
    const worker = workers.get(workerId)
    if (worker !== undefined) adjustFree(worker, request, 1)
  }

  function canFitWhenEmpty (members: number, request: ProcessorRequest): boolean {
    let count = 0
    for (const worker of workers.values()) {
      const byProcessors = request.processors === 0 ? members : Math.floor(worker.processors / request.processors)
      const byMemory = request.memoryBytes === 0 ? members : Math.floor(worker.memoryBytes / request.memoryBytes)
      count += Math.min(byProcessors, byMemory)
      if (count >= members) return true
    }
    return false
  }

  function adjustFree (worker: WorkerCapacity, request: ProcessorRequest, sign: 1 | -1): void {
    worker.freeProcessors += sign * request.processors
    worker.freeMemoryBytes += sign * request.memoryBytes
    if (worker.isUsable) updateBucket(worker)
  }

  function updateBucket (worker: WorkerCapacity): void {
    const bucket = getBucket(worker.freeProcessors)
    if (bucket !== worker.bucket) buckets[worker.bucket]?.delete(worker)
    worker.bucket = bucket
    buckets[bucket]?.add(worker)
  }
}

function getBucket (processors: number): number {
  return Math.min(bucketCount - 1, Math.max(0, Math.floor(Math.log2(Math.max(1, processors)))))
}
