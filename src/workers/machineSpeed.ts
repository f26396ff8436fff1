/**
 * Estimates how fast each machine is, relative to the expected pace of its runs. The estimate is the weighted geometric mean of what was
 * observed, where observations lose weight with time and a prior holds the estimate near 1 while there are few. Does no I/O.
 */

/** A machine's estimate in the form in which it is stored: weighted sum of the logarithms of the observed speeds, and their weight. */
export type MachineSpeedRecord = readonly [machineId: string, logSum: number, weight: number]

/** Speeds of machines, by machine id. Times are by the monotonic clock, in ms. */
export interface MachineSpeeds {
  /**
   * Records the speed of a run as a share of the expected speed. A run on several machines is as fast as the slowest of them: if it was slow,
   * each of them gets only its share of the observation; if not, none of them is slow, and each gets the whole.
   */
  record (machineIds: readonly string[], speed: number, nowMs: number, weight?: number): void
  /** The relative speed, 1 for a machine of which nothing is known. */
  getSpeed (machineId: string, nowMs: number): number
  /** The machines that differ most from 1, at most `maxMachines`. */
  export (nowMs: number, maxMachines: number): readonly MachineSpeedRecord[]
  /** Adds stored estimates that are `ageMs` old. Machines observed since then keep what was observed. */
  import (records: readonly MachineSpeedRecord[], ageMs: number, nowMs: number): void
}

/** Weight of the prior, in observations: one run may be slow or fast for other reasons. */
const priorWeight = 3
/** Time in which observations lose half of their weight, in ms: machines that turn slow recover within some seconds to minutes. */
const halfLifeMs = 60_000
/** Bounds of a speed. Machines turn up to 8 times slower, but below a fifth of the usual speed placement treats all alike. */
export const minSpeed = 0.2
export const maxSpeed = 2
/** The most weight that a machine's observations have together, so that a change is noticed after few runs. */
const maxWeight = 12
/** Below this weight a machine is forgotten. */
const minWeight = 0.02

interface Estimate {
  logSum: number
  weight: number
  atMs: number
}

/** Creates estimates without any observation. */
export function createMachineSpeeds (): MachineSpeeds {
  const estimates = new Map<string, Estimate>()

  return { record, getSpeed, export: exportRecords, import: importRecords }

  function record (machineIds: readonly string[], speed: number, nowMs: number, weight = 1): void {
    const machines = [...new Set(machineIds)]
    if (machines.length === 0 || !Number.isFinite(speed) || speed <= 0) return
    const bounded = clamp(speed)
    const weightOfEach = bounded < 1 ? weight / machines.length : weight
    for (const machineId of machines) {
      const estimate = decay(estimates.get(machineId), nowMs)
      const logSum = estimate.logSum + weightOfEach * Math.log(bounded)
      const total = estimate.weight + weightOfEach
      const scale = Math.min(1, maxWeight / total)
      estimates.set(machineId, { logSum: logSum * scale, weight: total * scale, atMs: nowMs })
    }
  }

  function getSpeed (machineId: string, nowMs: number): number {
    const { logSum, weight } = decay(estimates.get(machineId), nowMs)
    return clamp(Math.exp(logSum / (weight + priorWeight)))
  }

  function exportRecords (nowMs: number, maxMachines: number): readonly MachineSpeedRecord[] {
    const records: MachineSpeedRecord[] = []
    for (const [machineId, estimate] of estimates) {
      const { logSum, weight } = decay(estimate, nowMs)
      if (weight < minWeight) estimates.delete(machineId)
      else records.push([machineId, round(logSum), round(weight)])
    }
    return records.sort((left, right) => getDeviation(right) - getDeviation(left)).slice(0, maxMachines)
  }

  function importRecords (records: readonly MachineSpeedRecord[], ageMs: number, nowMs: number): void {
    for (const [machineId, logSum, weight] of records) {
      if (estimates.has(machineId) || weight <= 0) continue
      const boundedWeight = Math.min(weight, maxWeight)
      const meanLog = Math.log(clamp(Math.exp(logSum / weight)))
      estimates.set(machineId, { logSum: meanLog * boundedWeight, weight: boundedWeight, atMs: nowMs - Math.max(0, ageMs) })
    }
  }
}

function decay (estimate: Estimate | undefined, nowMs: number): Estimate {
  if (estimate === undefined) return { logSum: 0, weight: 0, atMs: nowMs }
  const factor = 2 ** (-Math.max(0, nowMs - estimate.atMs) / halfLifeMs)
  return { logSum: estimate.logSum * factor, weight: estimate.weight * factor, atMs: nowMs }
}

function getDeviation ([, logSum, weight]: MachineSpeedRecord): number {
  return Math.abs(logSum) / (weight + priorWeight)
}

function clamp (speed: number): number {
  return Math.min(maxSpeed, Math.max(minSpeed, speed))
}

function round (value: number): number {
  return Math.round(value * 1_000) / 1_000
}
