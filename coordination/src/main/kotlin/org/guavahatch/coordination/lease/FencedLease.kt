package org.guavahatch.coordination.lease

import arrow.core.getOrElse
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.guavahatch.coordination.store.ConditionalWrite
import org.guavahatch.coordination.store.RowCondition
import org.guavahatch.coordination.store.TableRow
import org.guavahatch.coordination.store.TableService
import org.guavahatch.coordination.store.TransactionResult
import org.guavahatch.model.time.Clock

/**
 * Row of a lease.
 *
 * @property holder incarnation of the holder
 * @property fencingNumber rises by one with each change of the holder
 * @property expiresAtMilliseconds wall clock time at which the lease ends unless it is renewed
 */
@Serializable
public data class LeaseRow(
    public val holder: String,
    public val fencingNumber: Long,
    public val expiresAtMilliseconds: Long,
)

/**
 * The right to give orders to one endpoint. Each holder has a higher fencing number than all before it, so an endpoint
 * that checks numbers is safe from a holder that was paused. For one that does not, a new holder waits until the old
 * lease and the bound on pauses are over.
 *
 * @property resource what the lease is for
 * @property holder incarnation of this process
 */
public class FencedLease(
    private val table: TableService,
    private val clock: Clock,
    private val resource: String,
    private val holder: String,
    private val settings: LeaseSettings = LeaseSettings(),
) {
    private val rowKey = "leases/$resource"
    private var hasHeld = false
    private var validUntilMilliseconds = Long.MIN_VALUE

    /** Whether this process may act now, by its own clock. Ask right before each action. */
    public fun isValid(): Boolean = clock.monotonicMilliseconds() < validUntilMilliseconds

    /**
     * Takes or renews the lease.
     *
     * @param resourceChecksFencing whether a new holder may take over before the old lease has ended
     * @return the fencing number, or null if the lease is not held, or it is not certain that it is
     */
    public suspend fun hold(resourceChecksFencing: Boolean): Long? {
        val startMilliseconds = clock.monotonicMilliseconds()
        val row = table.read(rowKey).getOrElse { return null }
        val present = row?.let { json.decodeFromString(LeaseRow.serializer(), it.value) }
        val number = when {
            present == null -> 1
            present.holder == holder -> present.fencingNumber
            mayTakeOver(present, resourceChecksFencing) -> present.fencingNumber + 1
            else -> return null
        }
        if (!write(row, number)) return null
        hasHeld = true
        validUntilMilliseconds = startMilliseconds + settings.durationMilliseconds
        return number
    }

    /** A process that has lost the lease before does not take it from a living successor. */
    private fun mayTakeOver(present: LeaseRow, resourceChecksFencing: Boolean): Boolean {
        val isOver = clock.wallMilliseconds() >= present.expiresAtMilliseconds + settings.pauseBoundMilliseconds
        return isOver || (resourceChecksFencing && !hasHeld)
    }

    private suspend fun write(row: TableRow?, number: Long): Boolean {
        val lease = LeaseRow(holder, number, clock.wallMilliseconds() + settings.durationMilliseconds)
        val condition = row?.let { RowCondition.VersionIs(it.version) } ?: RowCondition.Absent
        val value = json.encodeToString(LeaseRow.serializer(), lease)
        val result = table.transact(listOf(ConditionalWrite(rowKey, value, condition)))
        return result.getOrElse { return false } == TransactionResult.Applied
    }

    private companion object {
        val json = Json { ignoreUnknownKeys = true }
    }
}
