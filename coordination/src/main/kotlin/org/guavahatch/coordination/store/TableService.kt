package org.guavahatch.coordination.store

import arrow.core.Either
import kotlinx.serialization.Serializable

/**
 * A row of the table service.
 *
 * @property key key of the row
 * @property value value of the row, as text
 * @property version number that the service increases with every write to the row
 */
@Serializable
public data class TableRow(public val key: String, public val value: String, public val version: Long)

/** Condition on a row for a write to take effect. */
public sealed interface RowCondition {
    /** The row does not exist. */
    public data object Absent : RowCondition

    /** The row has this version. */
    public data class VersionIs(val version: Long) : RowCondition
}

/**
 * One write of a transaction.
 *
 * @property key key of the row
 * @property value new value, or null to delete the row
 * @property condition condition on the row
 */
public data class ConditionalWrite(
    public val key: String,
    public val value: String?,
    public val condition: RowCondition,
)

/** Result of a transaction. */
public sealed interface TransactionResult {
    /** All writes took effect. */
    public data object Applied : TransactionResult

    /**
     * No write took effect.
     *
     * @property failed indices of the writes whose conditions did not hold; never empty
     */
    public data class Rejected(val failed: Set<Int>) : TransactionResult
}

/** The transactional table service of the platform. */
public interface TableService {
    /** Returns the row with [key], or null if it does not exist. */
    public suspend fun read(key: String): Either<PlatformError, TableRow?>

    /** Returns all rows whose keys start with [prefix], in the order of their keys. */
    public suspend fun list(prefix: String): Either<PlatformError, List<TableRow>>

    /** Applies all [writes] or none of them. Each key may occur only once; at most 100 writes are allowed. */
    public suspend fun transact(writes: List<ConditionalWrite>): Either<PlatformError, TransactionResult>
}
