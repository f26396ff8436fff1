/** Merges the log lines of several hosts about one job into a timeline. */

/** One log line of a job's timeline. */
export interface TimelineEntry {
  readonly timeMs: number
  readonly host: string
  readonly message: string
  readonly fields: Readonly<Record<string, unknown>>
}

/** Fields omitted from the field list of a line: they occur in every line, or the timeline shows them separately. */
const hiddenFields: ReadonlySet<string> = new Set(['level', 'time', 'host', 'msg', 'jobId'])

/** Extracts the log lines that mention a job, ordered by the hosts' clocks. Lines that cannot be parsed as log lines are skipped. */
export function readTimeline (texts: readonly string[], jobId: string): readonly TimelineEntry[] {
  const lines = texts.flatMap(text => text.split('\n')).filter(line => line.includes(jobId)).flatMap(line => tryParseLine(line) ?? [])
  return lines.sort((left, right) => left.timeMs - right.timeMs)
}

/** Formats a timeline: for each line the time since the first line, the host, the message and the other log fields. */
export function formatTimeline (lines: readonly TimelineEntry[]): string {
  const startMs = lines[0]?.timeMs ?? 0
  return lines.map(({ timeMs, host, message, fields }) => {
    const formattedFields = Object.entries(fields).map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`)
    return `${((timeMs - startMs) / 1_000).toFixed(3).padStart(8)} s  ${host}  ${message}  ${formattedFields.join(' ')}`.trimEnd()
  }).join('\n')
}

/** Parses a log line. Text before the JSON is ignored: log collectors may add a prefix. */
function tryParseLine (line: string): TimelineEntry | undefined {
  const start = line.indexOf('{')
  if (start < 0) return undefined
  try {
    const record = JSON.parse(line.slice(start)) as Record<string, unknown>
    const { time, host, msg } = record
    if (typeof time !== 'number' || typeof msg !== 'string') return undefined
    const fields = Object.fromEntries(Object.entries(record).filter(([name]) => !hiddenFields.has(name)))
    return { timeMs: time, host: String(host ?? ''), message: msg, fields }
  } catch {
    return undefined
  }
}
