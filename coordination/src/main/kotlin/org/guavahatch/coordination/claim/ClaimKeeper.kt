package org.guavahatch.coordination.claim

import arrow.core.Either
import arrow.core.getOrElse
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.serialization.json.Json
import org.guavahatch.coordination.store.ConditionalWrite
import org.guavahatch.coordination.store.PlatformError
import org.guavahatch.coordination.store.RowCondition
import org.guavahatch.coordination.store.TableRow
import org.guavahatch.coordination.store.TableService
import org.guavahatch.coordination.store.TransactionResult
import org.guavahatch.model.time.Clock

/**
 * Claims idempotency keys through the table service. The row of a key carries the attempt that won it, so an attempt
 * whose insert lost its answer finds out by reading. Safety does not rest on time: an attempt that has won stays the
 * only one until it gives the claim back, which it does only if it was not dispatched.
 *
 * @property owner incarnation of this process
 */
public class ClaimKeeper(
    private val table: TableService,
    private val clock: Clock,
    private val owner: String,
    private val settings: ClaimSettings,
    scope: CoroutineScope,
) {
    private val writer = ClaimWriter(table, settings, scope)

    /**
     * Claims [key] for [attempt]. Returns when it is settled, and otherwise goes on until it is cancelled: during an
     * outage, and while another attempt has the claim without an outcome. A caller that stops waiting before the result
     * is there has to [release] the attempt.
     *
     * @param onHeldElsewhere called each time another attempt is found to have the claim without an outcome
     */
    public suspend fun claim(key: ClaimKey, attempt: String, onHeldElsewhere: () -> Unit): ClaimResult {
        val row = ClaimRow(attempt, owner, clock.wallMilliseconds())
        var pause = settings.retryMilliseconds
        while (true) {
            val result = tryClaim(key, row)
            if (result != null && result != ClaimResult.HeldElsewhere) return result
            if (result == ClaimResult.HeldElsewhere) onHeldElsewhere()
            delay(pause)
            pause = nextPause(pause)
        }
    }

    private suspend fun tryClaim(key: ClaimKey, row: ClaimRow): ClaimResult? {
        val isInserted = writer.insert(key.rowKey, json.encodeToString(ClaimRow.serializer(), row)).getOrElse { false }
        if (isInserted) return ClaimResult.Won
        val present = table.read(key.rowKey).getOrElse { return null } ?: return null
        val claim = decode(present)
        val answer = claim.answer
        return when {
            claim.attempt == row.attempt -> ClaimResult.Won
            answer != null -> ClaimResult.Answered(answer)
            else -> ClaimResult.HeldElsewhere
        }
    }

    /**
     * Gives back the claim of [attempt], which was not and will not be dispatched. Goes on during an outage.
     *
     * @param mayArriveLate whether an insert of the attempt may still be under way
     * @return whether the claim is certainly given back
     */
    public suspend fun release(key: ClaimKey, attempt: String, mayArriveLate: Boolean): Boolean {
        val isReleased = settle { deleteIfOwn(key, attempt) }
        if (!mayArriveLate) return isReleased
        delay(settings.recheckMilliseconds)
        return settle { deleteIfOwn(key, attempt) }
    }

    private suspend fun deleteIfOwn(key: ClaimKey, attempt: String): Either<PlatformError, Boolean> =
        changeOwn(key, attempt) { row -> ConditionalWrite(key.rowKey, null, RowCondition.VersionIs(row.version)) }

    /** Records the [answer] of [attempt]. Goes on during an outage; false if it was given up. */
    public suspend fun record(key: ClaimKey, attempt: String, answer: RecordedAnswer): Boolean = settle {
        changeOwn(key, attempt) { row ->
            val value = json.encodeToString(ClaimRow.serializer(), decode(row).copy(answer = answer))
            ConditionalWrite(key.rowKey, value, RowCondition.VersionIs(row.version))
        }
    }

    /** Changes the row of [key] if [attempt] has it; true if nothing is left to be done. */
    private suspend fun changeOwn(
        key: ClaimKey,
        attempt: String,
        change: (TableRow) -> ConditionalWrite,
    ): Either<PlatformError, Boolean> {
        val read = table.read(key.rowKey)
        val row = read.getOrElse { return read.map { false } } ?: return Either.Right(true)
        if (decode(row).attempt != attempt) return Either.Right(true)
        return table.transact(listOf(change(row))).map { it == TransactionResult.Applied }
    }

    private suspend fun settle(step: suspend () -> Either<PlatformError, Boolean>): Boolean {
        val until = clock.monotonicMilliseconds() + settings.settleMilliseconds
        var pause = settings.retryMilliseconds
        while (!step().getOrElse { false }) {
            if (clock.monotonicMilliseconds() >= until) return false
            delay(pause)
            pause = nextPause(pause)
        }
        return true
    }

    private fun nextPause(pause: Long) = minOf(pause * 2, settings.maximumRetryMilliseconds)

    private fun decode(row: TableRow): ClaimRow = json.decodeFromString(ClaimRow.serializer(), row.value)

    private companion object {
        val json = Json { ignoreUnknownKeys = true }
    }
}
