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
 * Stored value of a lease row.
 *
 * @property holder incarnation of the holder
 * @property fencingNumber increases by one each time the holder changes
 * @property expiresAtMilliseconds wall clock time at which the lease expires unless it is renewed
 */
@Serializable
public data class LeaseRow(
    public val holder: String,
    public val fencingNumber: Long,
    public val expiresAtMilliseconds: Long,
)

/**
 * A lease on the right to give orders to one endpoint. Each holder has a higher fencing number than all previous
 * holders, so an endpoint that checks the number rejects orders from an old holder that was paused. If the endpoint
 * does not check it, a new holder waits until the old lease has expired and
 * [LeaseSettings.takeoverMarginMilliseconds] have passed.
 *
 * @property resource name of the resource that the lease protects
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

    /** Whether the lease is valid now by the clock of this process. Must be checked immediately before each action. */
    public fun isValid(): Boolean = clock.monotonicMilliseconds() < validUntilMilliseconds

    /**
     * Acquires or renews the lease.
     *
     * @param resourceChecksFencing whether the resource checks fencing numbers, so that a new holder may take over
     * before the old lease has expired
     * @return the fencing number, or null if the lease is not known to be held
     */
    public suspend fun acquireOrRenew(resourceChecksFencing: Boolean): Long? {
        val startMilliseconds = clock.monotonicMilliseconds()
        val row = table.read(rowKey).getOrElse { return null }
        val current = row?.let { json.decodeFromString(LeaseRow.serializer(), it.value) }
        val fencingNumber = when {
            current == null -> 1
            current.holder == holder -> current.fencingNumber
            mayTakeOver(current, resourceChecksFencing) -> current.fencingNumber + 1
            else -> return null
        }
        if (!write(row, fencingNumber)) return null
        hasHeld = true
        validUntilMilliseconds = startMilliseconds + settings.durationMilliseconds
        return fencingNumber
    }

    /** A process that lost the lease does not take it from its successor before that lease has expired. */
    private fun mayTakeOver(current: LeaseRow, resourceChecksFencing: Boolean): Boolean {
        val isExpired = clock.wallMilliseconds() >= current.expiresAtMilliseconds + settings.takeoverMarginMilliseconds
        return isExpired || (resourceChecksFencing && !hasHeld)
    }

    private suspend fun write(row: TableRow?, fencingNumber: Long): Boolean {
        val lease = LeaseRow(holder, fencingNumber, clock.wallMilliseconds() + settings.durationMilliseconds)
        val condition = row?.let { RowCondition.VersionIs(it.version) } ?: RowCondition.Absent
        val value = json.encodeToString(LeaseRow.serializer(), lease)
        val result = table.transact(listOf(ConditionalWrite(rowKey, value, condition)))
        return result.getOrElse { return false } == TransactionResult.Applied
    }

    private companion object {
        val json = Json { ignoreUnknownKeys = true }
    }
}
