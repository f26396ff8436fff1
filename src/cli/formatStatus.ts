/** Formats the status of the system as text. */
import type { HostStatus } from '../entry/hostStatus.js'
import type { SchedulerStatus } from '../scheduling/jobViews.js'
import { formatTable, formatTime } from './formatJob.js'

/** Formats the status as one screen of text. */
export function formatStatus (status: HostStatus): string {
  return [
    `host ${status.hostId} of ${status.domain}: ${status.isReady ? 'ready' : 'not ready'}`,
    status.storeReachableSinceMs === undefined ? 'store: NOT REACHABLE' : `store: reachable since ${formatTime(status.storeReachableSinceMs)}`,
    `requests at this host: ${formatRequests(status)}`,
    formatEndpoints(status),
    status.assertionFailures === 0 ? 'invariants: all hold' : `invariants: ${status.assertionFailures} VIOLATED, last: ${status.lastAssertionFailure}`,
    '',
    formatHosts(status),
    '',
    ...status.domains.map(formatDomain)
  ].join('\n')
}

function formatRequests (status: HostStatus): string {
  const { inFlight, waiting, answered, notRun, unknown, retries } = status.requests
  return `${inFlight} in flight, ${waiting} waiting; ${answered} answered, ${notRun} not run, ${unknown} unknown, ${retries} retries`
}

function formatEndpoints (status: HostStatus): string {
  const byState = (state: string): string[] => status.endpoints.filter(endpoint => endpoint.state === state).map(endpoint => endpoint.endpointId)
  const ejected = byState('ejected')
  const leaving = byState('leaving')
  return `endpoints: ${byState('usable').length} usable, ejected: ${ejected.join(', ') || 'none'}, leaving: ${leaving.join(', ') || 'none'}`
}

function formatHosts (status: HostStatus): string {
  const header = ['HOST', 'DOMAIN', 'RULES', 'STORE', 'ROLE']
  const rows = status.hosts.map(host => [
    host.hostId,
    host.domain,
    `r${host.rulesRevision}`,
    host.isStoreReachable ? 'reachable' : 'NOT REACHABLE',
    [host.schedulerEpoch > 0 ? `scheduler, epoch ${host.schedulerEpoch}` : '', host.isLeaving ? 'leaving' : ''].filter(text => text !== '').join(', ') || '-'
  ])
  return formatTable([header, ...rows])
}

function formatDomain (domain: SchedulerStatus): string {
  const { usage } = domain
  const lines = [
    `domain ${domain.domain}: ${usage.usable} of ${usage.accelerators} accelerators usable, ${usage.guaranteedInUse} in use under guarantees, ` +
      `${usage.borrowed} borrowed; ${domain.running} job(s) placed, ${domain.waiting} waiting`,
    ...domain.shortages.map(shortage =>
      `  GUARANTEE ${shortage.guaranteeId} of ${shortage.organisation}: ${shortage.missingCells} cell(s) of ${shortage.acceleratorsPerCell} accelerators are missing`),
    ...domain.quarantined.map(worker => `  worker ${worker.workerId} is quarantined until ${formatTime(worker.untilMs)}: ${worker.failures} jobs failed on it`),
    ...domain.unreachableWorkers.map(workerId => `  worker ${workerId} is unreachable`),
    ...domain.largestWaiting.map(job => `  waiting: ${job.jobId} for ${job.accelerators} accelerators, for ${Math.round(job.waitedMs / 1_000)} s: ${job.reason}`)
  ]
  if (domain.unwrittenRecords > 0) lines.push(`  ${domain.unwrittenRecords} job record(s) not yet written to the store`)
  return lines.join('\n')
}
