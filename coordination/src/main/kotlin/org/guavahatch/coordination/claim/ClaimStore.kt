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
 * Claims idempotency keys in the table service. The row of a key names the attempt that holds the claim, so an attempt
 * that does not receive the response to its insert reads the row to learn the result. Safety does not depend on time:
 * a claim does not expire, and its attempt releases it only if the attempt was not dispatched.
 *
 * @property owner incarnation of this process
 */
public class ClaimStore(
    private val table: TableService,
    private val clock: Clock,
    private val owner: String,
    private val settings: ClaimSettings,
    scope: CoroutineScope,
) {
    private val writer = ClaimWriter(table, settings, scope)

    /**
     * Claims [key] for [attempt]. Retries until the result is known or the coroutine is cancelled, both during an
     * outage and while another attempt holds the claim without a recorded response. A caller that stops waiting before
     * the result is known must [release] the attempt.
     *
     * @param onHeldElsewhere called each time another attempt is found to hold the claim without a recorded response
     */
    public suspend fun claim(key: ClaimKey, attempt: String, onHeldElsewhere: () -> Unit): ClaimResult {
        val row = ClaimRow(attempt, owner, clock.wallMilliseconds())
        var retryDelay = settings.initialRetryDelayMilliseconds
        while (true) {
            val result = tryClaim(key, row)
            if (result != null && result != ClaimResult.HeldElsewhere) return result
            if (result == ClaimResult.HeldElsewhere) onHeldElsewhere()
            delay(retryDelay)
            retryDelay = nextRetryDelay(retryDelay)
        }
    }

    private suspend fun tryClaim(key: ClaimKey, row: ClaimRow): ClaimResult? {
        val isInserted = writer.insert(key.rowKey, json.encodeToString(ClaimRow.serializer(), row)).getOrElse { false }
        if (isInserted) return ClaimResult.Won
        val existing = table.read(key.rowKey).getOrElse { return null } ?: return null
        val claim = decode(existing)
        val answer = claim.answer
        return when {
            claim.attempt == row.attempt -> ClaimResult.Won
            answer != null -> ClaimResult.Answered(answer)
            else -> ClaimResult.HeldElsewhere
        }
    }

    /**
     * Releases the claim of [attempt], which must not have been dispatched and must not be dispatched later. Retries
     * during an outage, up to [ClaimSettings.retryTimeoutMilliseconds].
     *
     * @param mayArriveLate whether an insert by the attempt may still take effect; the release is then repeated after
     * [ClaimSettings.releaseRecheckDelayMilliseconds]
     * @return whether the claim is known to be released
     */
    public suspend fun release(key: ClaimKey, attempt: String, mayArriveLate: Boolean): Boolean {
        val isReleased = retryUntilDone { deleteIfHeldBy(key, attempt) }
        if (!mayArriveLate) return isReleased
        delay(settings.releaseRecheckDelayMilliseconds)
        return retryUntilDone { deleteIfHeldBy(key, attempt) }
    }

    private suspend fun deleteIfHeldBy(key: ClaimKey, attempt: String): Either<PlatformError, Boolean> =
        changeIfHeldBy(key, attempt) { row -> ConditionalWrite(key.rowKey, null, RowCondition.VersionIs(row.version)) }

    /**
     * Records [answer] as the response of [attempt]. Retries during an outage; returns false if it gave up after
     * [ClaimSettings.retryTimeoutMilliseconds].
     */
    public suspend fun record(key: ClaimKey, attempt: String, answer: RecordedAnswer): Boolean = retryUntilDone {
        changeIfHeldBy(key, attempt) { row ->
            val value = json.encodeToString(ClaimRow.serializer(), decode(row).copy(answer = answer))
            ConditionalWrite(key.rowKey, value, RowCondition.VersionIs(row.version))
        }
    }

    /** Applies [change] to the row of [key] if [attempt] holds it. Returns false if the write has to be retried. */
    private suspend fun changeIfHeldBy(
        key: ClaimKey,
        attempt: String,
        change: (TableRow) -> ConditionalWrite,
    ): Either<PlatformError, Boolean> {
        val read = table.read(key.rowKey)
        val row = read.getOrElse { return read.map { false } } ?: return Either.Right(true)
        if (decode(row).attempt != attempt) return Either.Right(true)
        return table.transact(listOf(change(row))).map { it == TransactionResult.Applied }
    }

    private suspend fun retryUntilDone(step: suspend () -> Either<PlatformError, Boolean>): Boolean {
        val deadline = clock.monotonicMilliseconds() + settings.retryTimeoutMilliseconds
        var retryDelay = settings.initialRetryDelayMilliseconds
        while (!step().getOrElse { false }) {
            if (clock.monotonicMilliseconds() >= deadline) return false
            delay(retryDelay)
            retryDelay = nextRetryDelay(retryDelay)
        }
        return true
    }

    private fun nextRetryDelay(retryDelay: Long) = minOf(retryDelay * 2, settings.maximumRetryDelayMilliseconds)

    private fun decode(row: TableRow): ClaimRow = json.decodeFromString(ClaimRow.serializer(), row.value)

    private companion object {
        val json = Json { ignoreUnknownKeys = true }
    }
}
