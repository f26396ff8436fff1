/** The limits of the ports: room for what ordinary hosts meet, and a part kept for the host itself. */
import { expect, test } from '@jest/globals'
import { connectionBytes } from '../common/clientBudget.js'
import { getPortLimits } from './portLimits.js'

test.each([[250, 4_100], [350, 4_100], [602, 8_192]])('%i MB and %i descriptors leave room for ordinary callers and for the host itself', (memoryMb, maxDescriptors) => {
  const { callers, peers, probes } = getPortLimits(memoryMb, maxDescriptors)
  // A host has up to some hundreds of callers' connections at once. With 60 hosts it has up to 360 from peers, most of them idle.
  expect(callers.maxConnections).toBeGreaterThan(600)
  expect(peers.maxConnections).toBeGreaterThan(250)
  expect(callers.maxBytes).toBeGreaterThan(60 * 262_144)
  expect(peers.maxBytes).toBeGreaterThan(4 * 4_194_304)
  const connections = callers.maxConnections + peers.maxConnections + 2 * probes.maxConnections
  expect(connections).toBeLessThan((maxDescriptors - 200) * 3 / 4)
  expect(connections * connectionBytes + callers.maxBytes + peers.maxBytes).toBeLessThan(0.5 * memoryMb * 1_024 * 1_024)
})

test('very low limits leave one connection for each port', () => {
  const { callers, peers, probes } = getPortLimits(1, 100)
  expect([callers, peers, probes].map(({ maxConnections }) => maxConnections)).toEqual([1, 1, 1])
})
