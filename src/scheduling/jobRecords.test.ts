/** Records of which the store has a newer state, written by another scheduler. */
import { expect, test } from '@jest/globals'
import { silentLogger } from '../common/logger.js'
import { ErrorKind } from '../errors/errorKinds.js'
import { createMemoryStore } from '../standins/store.js'
import type { MemoryStore } from '../standins/store.js'
import { createJobSpec, harnessDomain } from '../testing/schedulerHarness.js'
import { createJobRecords } from './jobRecords.js'
import type { JobPatch, JobRecords } from './jobRecords.js'
import { JobResult, JobState } from './jobTypes.js'
import type { JobRecord } from './jobTypes.js'

const spec = createJobSpec('job')
const { jobId } = spec
const endedAtMs = 1_000
const succeeded = { state: JobState.Ended, attempt: 1, result: JobResult.Succeeded, endedAtMs }

function createRecords (store: MemoryStore, epoch: number): JobRecords {
  return createJobRecords(store, harnessDomain, () => epoch, silentLogger, async () => {})
}

/** Returns the records of epoch 2, of which `patch` was made before the record of epoch 1, with `earlier`, could be read. */
async function createStaleRecords (store: MemoryStore, earlier: JobPatch, patch: JobPatch): Promise<JobRecords> {
  const first = createRecords(store, 1)
  first.addUnwritten(spec, earlier)
  await first.flush()
  const records = createRecords(store, 2)
  records.addUnwritten(spec, patch)
  await records.flush()
  return records
}

async function readStored (store: MemoryStore): Promise<JobRecord | undefined> {
  const entry = await store.get(`jobs/${harnessDomain}/${jobId}`)
  return entry && JSON.parse(entry.value) as JobRecord
}

// Guards against a record that stays changed for good: the scheduler shows another result than the store, does not acknowledge the ends, and keeps the record.
test('a record of which the store has a newer state is replaced by it, and pruned', async () => {
  const store = createMemoryStore()
  const records = await createStaleRecords(store, succeeded, { state: JobState.Released, attempt: 1 })
  expect(records.countUnwritten()).toBe(0)
  expect(records.get(jobId)).toMatchObject(succeeded)
  expect(records.isUnwritten(jobId)).toBe(false)
  await records.prune(endedAtMs + 1)
  expect(records.get(jobId)).toBeUndefined()
  expect(await readStored(store)).toBeUndefined()
})

// Guards against an ended job that starts again because the scheduler knows the revision of its record.
test('a record that was replaced by a newer state is not overwritten by an older one', async () => {
  const store = createMemoryStore()
  const records = await createStaleRecords(store, succeeded, { state: JobState.Released, attempt: 1 })
  await expect(records.write(jobId, { state: JobState.Released, attempt: 2 })).rejects.toMatchObject({ kind: ErrorKind.StaleEpoch })
  records.writeLater(jobId, { state: JobState.Ended, result: JobResult.Failed })
  await records.flush()
  expect(await readStored(store)).toMatchObject({ ...succeeded, epoch: 1 })
  expect(records.get(jobId)).toMatchObject(succeeded)
})

// Guards against ends that are never acknowledged, or are acknowledged although the store has not got what follows from them.
test.each([[succeeded, 1], [{ state: JobState.Released, attempt: 2 }, 0]])('listeners are told of a newer state in the store only if the job has ended: %j', async (newer, calls) => {
  const store = createMemoryStore()
  const later = createRecords(store, 3)
  later.addUnwritten(spec, newer)
  await later.flush()
  const records = createRecords(store, 2)
  const written: string[] = []
  records.onWritten(id => { written.push(id) })
  records.addUnwritten(spec, { state: JobState.Released, attempt: 1 })
  await records.flush()
  expect(written).toHaveLength(calls)
  expect(records.isUnwritten(jobId)).toBe(calls === 0)
  expect(records.get(jobId)).toMatchObject({ ...newer, epoch: 3 })
  expect(await readStored(store)).toMatchObject({ ...newer, epoch: 3 })
})

// Guards against a known result that is dropped because an earlier scheduler has stored that it is unknown.
test('a known result replaces the assumed one of an earlier scheduler that could not be read before', async () => {
  const store = createMemoryStore()
  const records = await createStaleRecords(store, { ...succeeded, result: JobResult.Unknown }, succeeded)
  expect(records.get(jobId)).toMatchObject(succeeded)
  expect(await readStored(store)).toMatchObject({ ...succeeded, epoch: 2 })
})
