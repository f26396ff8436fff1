/** Properties of the learned speeds: bounds, the prior, forgetting, and how the observation of a gang is divided over its machines. */
import { expect, test } from '@jest/globals'
import * as fc from 'fast-check'
import { createMachineSpeeds, maxSpeed, minSpeed } from './machineSpeed.js'

const machineIds = fc.constantFrom('a', 'b', 'c', 'd', 'e')
const observations = fc.array(fc.record({ machines: fc.uniqueArray(machineIds, { minLength: 1 }), speed: fc.double({ min: 0.01, max: 10, noNaN: true }), afterMs: fc.nat(30_000) }), { maxLength: 40 })

test('a speed is always within its bounds, and moves towards 1 while nothing is observed', () => {
  fc.assert(fc.property(observations, fc.nat(300_000), (runs, laterMs) => {
    const speeds = createMachineSpeeds()
    let nowMs = 0
    for (const { machines, speed, afterMs } of runs) speeds.record(machines, speed, nowMs += afterMs)
    for (const machineId of ['a', 'b', 'c', 'd', 'e', 'unknown']) {
      const now = speeds.getSpeed(machineId, nowMs)
      const later = speeds.getSpeed(machineId, nowMs + laterMs)
      expect(now).toBeGreaterThanOrEqual(minSpeed)
      expect(now).toBeLessThanOrEqual(maxSpeed)
      expect(Math.abs(Math.log(later))).toBeLessThanOrEqual(Math.abs(Math.log(now)) + 1e-9)
      expect(Math.log(later) * Math.log(now)).toBeGreaterThanOrEqual(-1e-9)
    }
  }))
})

test('the estimate lies between 1 and the speeds observed', () => {
  fc.assert(fc.property(fc.array(fc.double({ min: 0.25, max: 1, noNaN: true }), { minLength: 1, maxLength: 20 }), observed => {
    const speeds = createMachineSpeeds()
    for (const speed of observed) speeds.record(['a'], speed, 0)
    expect(speeds.getSpeed('a', 0)).toBeLessThanOrEqual(1)
    expect(speeds.getSpeed('a', 0)).toBeGreaterThanOrEqual(Math.min(...observed) - 1e-9)
  }))
})

test('one slow run does not make a machine slow, some do, and after some minutes they are forgotten', () => {
  const speeds = createMachineSpeeds()
  speeds.record(['a'], 0.2, 0)
  expect(speeds.getSpeed('a', 0)).toBeGreaterThan(0.6)
  for (let runs = 0; runs < 4; runs++) speeds.record(['a'], 0.2, 0)
  expect(speeds.getSpeed('a', 0)).toBeLessThan(0.5)
  expect(speeds.getSpeed('a', 240_000)).toBeGreaterThan(0.8)
})

test('a slow gang counts less against its members the more they are, and whatever their order', () => {
  fc.assert(fc.property(fc.uniqueArray(machineIds, { minLength: 2 }), fc.double({ min: 0.05, max: 0.9, noNaN: true }), (machines, speed) => {
    const gang = createMachineSpeeds()
    const single = createMachineSpeeds()
    const reversed = createMachineSpeeds()
    gang.record(machines, speed, 0)
    reversed.record([...machines].reverse(), speed, 0)
    for (const machineId of machines) {
      single.record([machineId], speed, 0)
      expect(gang.getSpeed(machineId, 0)).toBeGreaterThan(single.getSpeed(machineId, 0))
      expect(reversed.getSpeed(machineId, 0)).toBe(gang.getSpeed(machineId, 0))
    }
  }))
})

test('a member of several slow gangs stands out among members of one', () => {
  const speeds = createMachineSpeeds()
  for (const others of [['b', 'c'], ['d', 'e'], ['f', 'g'], ['h', 'i']]) speeds.record(['a', ...others], 0.2, 0)
  for (const other of ['b', 'c', 'd', 'e', 'f', 'g', 'h', 'i']) expect(speeds.getSpeed('a', 0)).toBeLessThan(speeds.getSpeed(other, 0) * 0.75)
})

test('machines whose speeds differ by 0.8 to 1.3 are never in the class of slow ones', () => {
  fc.assert(fc.property(fc.array(fc.double({ min: 0.8, max: 1.3, noNaN: true }), { maxLength: 60 }), observed => {
    const speeds = createMachineSpeeds()
    for (const speed of observed) speeds.record(['a'], speed, 0)
    expect(speeds.getSpeed('a', 0)).toBeGreaterThanOrEqual(0.6)
  }))
})

test('an export that is imported later gives the same speeds, and keeps the machines that differ most', () => {
  fc.assert(fc.property(observations, fc.nat(120_000), (runs, ageMs) => {
    const source = createMachineSpeeds()
    for (const { machines, speed } of runs) source.record(machines, speed, 0)
    const target = createMachineSpeeds()
    target.import(source.export(0, 300), ageMs, 5_000)
    for (const machineId of ['a', 'b', 'c', 'd', 'e']) expect(target.getSpeed(machineId, 5_000)).toBeCloseTo(source.getSpeed(machineId, ageMs), 2)
    const kept = source.export(0, 2).map(([machineId]) => Math.abs(Math.log(source.getSpeed(machineId, 0))))
    const dropped = ['a', 'b', 'c', 'd', 'e'].filter(machineId => !source.export(0, 2).some(([keptId]) => keptId === machineId))
    for (const machineId of dropped) for (const deviation of kept) if (source.export(0, 2).length === 2) expect(deviation).toBeGreaterThanOrEqual(Math.abs(Math.log(source.getSpeed(machineId, 0))) - 2e-3)
  }))
})
