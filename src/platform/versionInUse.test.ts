/** The daemon as its own process: what it starts and what it answers belong to one version of the configuration, also if it cannot read the newest one. */
import { afterEach, expect, test } from '@jest/globals'
import { delay } from '../common/time.js'
import { encodeAccepted, getAcceptedKey } from '../jobs/jobKeys.js'
import { makeJob, makeStep } from '../testing/poolHarness.js'
import { crowdHostName, crowdKey, startCrowdedHost } from './testing/crowdedHost.js'
import type { CrowdedHost, OrdinaryResponse } from './testing/crowdedHost.js'

const limits = { heapMb: 64, memoryMb: 160, maxDescriptors: 400 }
const jobId = '00000000000000f1'
const route = { host: crowdHostName, service: 'pool', timeoutMs: 3_000, attempts: 4 }

let host: CrowdedHost | undefined

/** Repeats a call until it is answered, as a slow machine may take longer than the caller's time limit. */
async function ask ({ call, isUp }: CrowdedHost, path: string): Promise<OrdinaryResponse | undefined> {
  let response: OrdinaryResponse | undefined
  while (response === undefined && isUp()) response = await call('GET', path)
  return response
}

afterEach(async () => { await host?.stop() })

// Incident 84: the scheduling host started a job of an added queue and answered that there was no such queue, and that a dropped one was there.
test('a host that starts a job of a version that it cannot read yet does not answer by the version before', async () => {
  const started = host = await startCrowdedHost(limits, 0)
  const { emulator } = started
  emulator.holdConfiguration(true)
  emulator.configure({ version: 2, routes: [{ ...route, name: 'fresh', prefix: '/fresh/' }], tenants: [{ name: 'crowd', keys: [crowdKey] }] })
  const job = makeJob(jobId, 'fresh', [makeStep({ request: { cpuMilli: 100, memoryMb: 1, accelerators: 0 } })], { configurationVersion: 2, organisation: 'crowd' })
  emulator.addJob(job)
  emulator.store.write(getAcceptedKey(jobId), encodeAccepted(job))
  while (started.isUp() && emulator.poolState.starts.size === 0) await delay(20)
  const whileHeld = await Promise.all([ask(started, '/batch/none'), ask(started, '/fresh/none')])
  expect(whileHeld.map(response => response?.status)).toEqual([504, 504])
  emulator.holdConfiguration(false)
  expect(await started.isServed('GET', '/fresh/')).toBe(true)
  expect((await ask(started, '/batch/none'))?.text).toContain('no-request-kind')
})
