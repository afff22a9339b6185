package org.guavahatch.coordination.store

import arrow.core.Either
import kotlinx.serialization.Serializable

/**
 * A row of the table service.
 *
 * @property key key of the row
 * @property value value of the row, as text
 * @property version number that the service raises with every write of the row
 */
@Serializable
public data class TableRow(public val key: String, public val value: String, public val version: Long)

/** What must hold of a row for a write to take effect. */
public sealed interface RowCondition {
    /** There is no such row. */
    public data object Absent : RowCondition

    /** The row has this version. */
    public data class VersionIs(val version: Long) : RowCondition
}

/**
 * One write of a transaction.
 *
 * @property key key of the row
 * @property value new value, or null to delete the row
 * @property condition what must hold of the row
 */
public data class ConditionalWrite(
    public val key: String,
    public val value: String?,
    public val condition: RowCondition,
)

/** What became of a transaction. */
public sealed interface TransactionResult {
    /** All writes have taken effect. */
    public data object Applied : TransactionResult

    /**
     * No write has taken effect.
     *
     * @property failed positions of the writes whose conditions did not hold, at least one
     */
    public data class Rejected(val failed: Set<Int>) : TransactionResult
}

/** The platform's transactional table service. */
public interface TableService {
    /** The row with [key], or null if there is none. */
    public suspend fun read(key: String): Either<PlatformError, TableRow?>

    /** All rows whose keys start with [prefix], in the order of their keys. */
    public suspend fun list(prefix: String): Either<PlatformError, List<TableRow>>

    /** Applies all [writes] or none; each key may occur once. At most 100 writes. */
    public suspend fun transact(writes: List<ConditionalWrite>): Either<PlatformError, TransactionResult>
}
