/**
 * Room for members without accelerators. On a worker with accelerators they share the part of its
 * processors and memory that belongs to no accelerator, so they never stand in a guarantee's way.
 */
import type { WorkerInfo } from './workerTypes.js'

/** What one member without accelerators needs. */
export interface ProcessorRequest {
  readonly processors: number
  readonly memoryBytes: number
}

/** The free processors and memory of a domain's workers. */
export interface ProcessorPool {
  addWorker (info: WorkerInfo): void
  setUsable (workerId: string, isUsable: boolean): void
  /** Takes room for all members, or for none. Returns the worker of each member. */
  tryTake (members: number, request: ProcessorRequest): readonly string[] | undefined
  /** Takes room for a member that runs already. */
  take (workerId: string, request: ProcessorRequest): void
  giveBack (workerId: string, request: ProcessorRequest): void
  /** Tells whether an empty domain could hold the members. */
  canEverHold (members: number, request: ProcessorRequest): boolean
}

/** The share of a worker's processors and memory that belongs to no accelerator, if it has any. */
export const sharedPart = 1 / 8

interface Room {
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
  const rooms = new Map<string, Room>()
  /** Usable workers by the logarithm of their free processors. */
  const buckets: Set<Room>[] = Array.from({ length: bucketCount }, () => new Set<Room>())

  return { addWorker, setUsable, tryTake, take, giveBack, canEverHold }

  function addWorker (info: WorkerInfo): void {
    if (rooms.has(info.workerId)) return
    const part = info.accelerators > 0 ? sharedPart : 1
    const processors = info.processors * part
    const memoryBytes = info.memoryBytes * part
    const room: Room = { info, processors, memoryBytes, freeProcessors: processors, freeMemoryBytes: memoryBytes, isUsable: false, bucket: 0 }
    rooms.set(info.workerId, room)
    setUsable(info.workerId, true)
  }

  function setUsable (workerId: string, isUsable: boolean): void {
    const room = rooms.get(workerId)
    if (room === undefined || room.isUsable === isUsable) return
    room.isUsable = isUsable
    if (isUsable) fileRoom(room)
    else buckets[room.bucket]?.delete(room)
  }

  function tryTake (members: number, request: ProcessorRequest): readonly string[] | undefined {
    const taken: string[] = []
    for (let member = 0; member < members; member++) {
      const room = findRoom(request)
      if (room === undefined) {
        for (const workerId of taken) giveBack(workerId, request)
        return undefined
      }
      changeRoom(room, request, -1)
      taken.push(room.info.workerId)
    }
    return taken
  }

  /** Best fit by bucket: the fullest workers that still have room come first. */
  function findRoom (request: ProcessorRequest): Room | undefined {
    for (let bucket = getBucket(request.processors); bucket < bucketCount; bucket++) {
      for (const room of buckets[bucket] as Set<Room>) {
        if (room.freeProcessors >= request.processors && room.freeMemoryBytes >= request.memoryBytes) return room
      }
    }
    return undefined
  }

  function take (workerId: string, request: ProcessorRequest): void {
    const room = rooms.get(workerId)
    if (room !== undefined) changeRoom(room, request, -1)
  }

  function giveBack (workerId: string, request: ProcessorRequest): void {
    const room = rooms.get(workerId)
    if (room !== undefined) changeRoom(room, request, 1)
  }

  function canEverHold (members: number, request: ProcessorRequest): boolean {
    let count = 0
    for (const room of rooms.values()) {
      const byProcessors = request.processors === 0 ? members : Math.floor(room.processors / request.processors)
      const byMemory = request.memoryBytes === 0 ? members : Math.floor(room.memoryBytes / request.memoryBytes)
      count += Math.min(byProcessors, byMemory)
      if (count >= members) return true
    }
    return false
  }

  function changeRoom (room: Room, request: ProcessorRequest, sign: 1 | -1): void {
    room.freeProcessors += sign * request.processors
    room.freeMemoryBytes += sign * request.memoryBytes
    if (room.isUsable) fileRoom(room)
  }

  function fileRoom (room: Room): void {
    const bucket = getBucket(room.freeProcessors)
    if (bucket !== room.bucket) buckets[room.bucket]?.delete(room)
    room.bucket = bucket
    buckets[bucket]?.add(room)
  }
}

function getBucket (processors: number): number {
  return Math.min(bucketCount - 1, Math.max(0, Math.floor(Math.log2(Math.max(1, processors)))))
}
