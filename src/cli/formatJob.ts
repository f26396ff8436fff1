/** Formats jobs, tables and times as text. */
import type { JobView } from '../scheduling/jobViews.js'

/** Formats rows as aligned columns. */
export function formatTable (rows: readonly (readonly string[])[]): string {
  const widths: number[] = []
  for (const row of rows) row.forEach((cell, index) => { widths[index] = Math.max(widths[index] ?? 0, cell.length) })
  return rows.map(row => row.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join('  ').trimEnd()).join('\n')
}

/** Formats a job on several lines, with the reason for its state. */
export function formatJob (job: JobView): string {
  const lines = [
    `${job.jobId}  ${job.name}  ${job.organisation}`,
    `  state      ${job.state}${job.result === undefined ? '' : `, ${job.result}`}${job.reason === undefined ? '' : `: ${job.reason}`}`,
    `  gang       ${job.members} member(s) with ${job.acceleratorsPerMember} accelerator(s) each`,
    `  guarantee  ${job.guaranteeId ?? 'none (preemptible)'}`,
    `  attempts   ${job.attempt}, preempted ${job.preemptions} time(s)`,
    `  submitted  ${formatTime(job.submittedAtMs)}`,
    `  started    ${formatTime(job.startedAtMs)}`,
    `  ended      ${formatTime(job.endedAtMs)}`
  ]
  if (job.workers.length > 0) lines.push(`  workers    ${job.workers.join(', ')}`)
  return lines.join('\n')
}

/** Formats jobs as a table. */
export function formatJobs (jobs: readonly JobView[]): string {
  const header = ['JOB', 'ORGANISATION', 'NAME', 'GANG', 'STATE', 'GUARANTEE']
  const rows = jobs.map(job => [
    job.jobId,
    job.organisation,
    job.name,
    `${job.members}x${job.acceleratorsPerMember}`,
    job.result ?? job.state,
    job.guaranteeId ?? '-'
  ])
  return formatTable([header, ...rows])
}

/** Formats a time in ms since the Unix epoch as ISO 8601. */
export function formatTime (timeMs: number | undefined): string {
  return timeMs === undefined ? '-' : new Date(timeMs).toISOString()
}
