/** How much of each pool is allocated, with what the planning pass has started. Does no I/O. */
import type { Resources } from '../jobs/jobModel.js'
import { addResources, subtractResources } from '../workers/workerState.js'
import type { FreeCapacity } from './placeUnit.js'

/** The use of the usable workers of each service in one planning pass. */
export interface PoolUse {
  /** Counts what the pass has started. */
  add (service: string, count: number, request: Resources): void
  /** Tells whether under half of the service's usable capacity is allocated, of each resource. Source: the platform's rules on jobs that wait. */
  isMostlyIdle (service: string): boolean
}

interface ServiceUse {
  capacity: Resources
  allocated: Resources
}

const none: Resources = { cpuMilli: 0, memoryMb: 0, accelerators: 0 }

/** Sums up the use of the workers by service. */
export function createPoolUse (freeCapacity: FreeCapacity): PoolUse {
  const services = new Map<string, ServiceUse>()
  for (const [{ info: { service, capacity } }, free] of freeCapacity) {
    const use = services.get(service) ?? { capacity: none, allocated: none }
    services.set(service, { capacity: addResources(use.capacity, capacity), allocated: addResources(use.allocated, subtractResources(capacity, free)) })
  }
  return { add, isMostlyIdle }

  function add (service: string, count: number, { cpuMilli, memoryMb, accelerators }: Resources): void {
    const use = services.get(service)
    if (use === undefined) return
    use.allocated = addResources(use.allocated, { cpuMilli: cpuMilli * count, memoryMb: memoryMb * count, accelerators: accelerators * count })
  }

  function isMostlyIdle (service: string): boolean {
    const use = services.get(service)
    if (use === undefined) return false
    const { capacity, allocated } = use
    return isUnderHalf(allocated.cpuMilli, capacity.cpuMilli) && isUnderHalf(allocated.memoryMb, capacity.memoryMb) && isUnderHalf(allocated.accelerators, capacity.accelerators)
  }
}

/** A resource that the service doesn't have is not in use. */
function isUnderHalf (allocated: number, capacity: number): boolean {
  return 2 * allocated < capacity || capacity === 0
}
