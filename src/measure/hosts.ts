/**
 * `npm run measure:hosts`: measures the cost of membership and rules for a host at several fleet sizes, and the load
 * that claims put on the store. All hosts run in one process over loopback; each figure is for one host unless it says otherwise.
 */
import { createClaims } from '../claims/claims.js'
import { formatTable } from '../cli/formatJob.js'
import { silentLogger } from '../common/logger.js'
import { rpcTraffic } from '../common/httpRpcClient.js'
import { delay } from '../common/time.js'
import { OperatorMethod } from '../operators/operatorInterface.js'
import type { Confirmations } from '../operators/operatorInterface.js'
import type { RuleEditResult } from '../rules/ruleEditor.js'
import type { RuleSnapshot } from '../rules/ruleReplica.js'
import { startLocalSystem } from '../standins/localSystem.js'
import type { LocalSystem } from '../standins/localSystem.js'
import { createMemoryStore } from '../standins/store.js'

/** At most 60 hosts: about as many as one process can run on one core. */
const fleetSizes = [{ domains: 2, hosts: 4 }, { domains: 6, hosts: 5 }, { domains: 10, hosts: 6 }]
const observationMs = 20_000
const editCount = 10
const confirmationWaitMs = 9_000
const httpHeaderBytes = 420
const claimRates = [50, 500, 5_000]
const claimHostCount = 8
const claimSeconds = 4
const storeLatencyMs = 4

async function measureFleet (fleet: { readonly domains: number, readonly hosts: number }): Promise<string[]> {
  const domains = Array.from({ length: fleet.domains }, (_, index) => ({ name: `d${index}`, workers: 0, workersPerRack: 8, endpoints: 0, hosts: fleet.hosts }))
  const system = await startLocalSystem({ domains, organisations: ['mill'], logger: silentLogger })
  const count = fleet.domains * fleet.hosts
  while (![...system.hosts.values()].every(host => host.countPeers() === count - 1)) await delay(200)
  await system.connectOperator().call(OperatorMethod.ApplyRules, { text: 'organisation mill # measure\n', baseRevision: 0, askedBy: 'measure' })
  await delay(3_000)
  const storeCallsBefore = { ...system.store.store.calls }
  rpcTraffic.calls = rpcTraffic.bytesIn = rpcTraffic.bytesOut = 0
  const cpuBefore = process.cpuUsage()
  await delay(observationMs)
  const cpuUsed = process.cpuUsage(cpuBefore)
  const seconds = observationMs / 1_000
  const storeCallsAfter = system.store.store.calls
  const storeCallsPerSecond = (storeCallsAfter.reads + storeCallsAfter.writes + storeCallsAfter.watches - storeCallsBefore.reads - storeCallsBefore.writes - storeCallsBefore.watches) / seconds
  // The bytes of a call count for two hosts: the client and the server.
  const bytesPerSecond = 2 * (rpcTraffic.bytesIn + rpcTraffic.bytesOut + rpcTraffic.calls * httpHeaderBytes) / seconds / count
  const callsPerSecond = rpcTraffic.calls / seconds / count
  const times = await measureEdits(system)
  await system.stop()
  return [
    `| ${count}`,
    `| ${fleet.domains}`,
    `| ${callsPerSecond.toFixed(1)}`,
    `| ${bytesPerSecond.toFixed(0)}`,
    `| ${((cpuUsed.user + cpuUsed.system) / 10_000 / seconds / count).toFixed(2)}`,
    `| ${storeCallsPerSecond.toFixed(1)}`,
    `| ${Math.round(times[Math.floor(times.length / 2)] ?? 0)}`,
    `| ${Math.round(times.at(-1) ?? 0)} |`
  ]
}

/** Returns the times from each rule edit until every host has applied it, in ms, sorted. */
async function measureEdits (system: LocalSystem): Promise<number[]> {
  const times: number[] = []
  for (let index = 0; index < editCount; index++) {
    const operator = system.connectOperator()
    const snapshot = await operator.call<RuleSnapshot>(OperatorMethod.ShowRules, {})
    const startedAtMs = performance.now()
    const result = await operator.call<RuleEditResult>(OperatorMethod.ApplyRules, { text: `${snapshot.text}organisation o${index} # measure\n`, askedBy: 'measure' })
    while ([...system.hosts.values()].some(host => host.getRulesRevision() < result.revision)) await delay(5)
    times.push(performance.now() - startedAtMs)
    await operator.call<Confirmations>(OperatorMethod.Confirmations, { revision: result.revision, waitMs: confirmationWaitMs })
  }
  return times.sort((left, right) => left - right)
}

async function measureClaims (ratePerSecond: number): Promise<string[]> {
  const store = createMemoryStore()
  const slowStore = {
    ...store,
    get: async (key: string) => {
      await delay(storeLatencyMs)
      return await store.get(key)
    },
    put: async (write: Parameters<typeof store.put>[0]) => {
      await delay(storeLatencyMs)
      return await store.put(write)
    }
  }
  const hosts = Array.from({ length: claimHostCount }, () => createClaims(slowStore, () => 60_000))
  const times: number[] = []
  let failed = 0
  const pendingClaims: Promise<void>[] = []
  const startedAtMs = performance.now()
  for (let index = 0; index < ratePerSecond * claimSeconds; index++) {
    const atMs = startedAtMs + index * 1_000 / ratePerSecond
    if (atMs > performance.now()) await delay(atMs - performance.now())
    const sentAtMs = performance.now()
    const host = hosts[index % claimHostCount]
    pendingClaims.push((host?.claim(`key-${index}`, `request-${index}`) ?? Promise.reject(new Error())).then(
      () => { times.push(performance.now() - sentAtMs) },
      () => { failed++ }))
  }
  await Promise.all(pendingClaims)
  const seconds = (performance.now() - startedAtMs) / 1_000
  hosts.forEach(host => host.stop())
  times.sort((left, right) => left - right)
  return [
    `| ${ratePerSecond}`,
    `| ${(store.calls.writes / seconds).toFixed(0)}`,
    `| ${(store.calls.reads / seconds).toFixed(0)}`,
    `| ${(times[Math.floor(times.length / 2)] ?? 0).toFixed(0)}`,
    `| ${(times[Math.floor(times.length * 0.99)] ?? 0).toFixed(0)}`,
    `| ${failed} |`
  ]
}

const fleetRows: string[][] = []
for (const fleet of fleetSizes) {
  const row = await measureFleet(fleet)
  console.error(row.join(' '))
  fleetRows.push(row)
}
console.log(formatTable([
  ['| hosts', '| domains', '| calls/s per host', '| bytes/s per host', '| core % per host', '| store calls/s of all hosts', '| edit applied p50 ms', '| max ms |'],
  ['|---', '|---', '|---', '|---', '|---', '|---', '|---', '|---|'],
  ...fleetRows
]))
const claimRows: string[][] = []
for (const rate of claimRates) claimRows.push(await measureClaims(rate))
console.log('')
console.log(formatTable([
  ['| claims/s', '| store writes/s', '| store reads/s', '| claim p50 ms', '| p99 ms', '| failed |'],
  ['|---', '|---', '|---', '|---', '|---', '|---|'],
  ...claimRows
]))
process.exit(0)
