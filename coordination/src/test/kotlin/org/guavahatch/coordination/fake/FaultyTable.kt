package org.guavahatch.coordination.fake

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.guavahatch.coordination.store.ConditionalWrite
import org.guavahatch.coordination.store.PlatformError
import org.guavahatch.coordination.store.RowCondition
import org.guavahatch.coordination.store.TableRow
import org.guavahatch.coordination.store.TableService
import org.guavahatch.coordination.store.TransactionResult
import java.util.TreeMap
import kotlin.random.Random

/**
 * An in-memory table service. While [isFaulty], calls fail before they take effect, lose their responses, or take
 * effect only after the caller was told that the response was lost.
 */
internal class FaultyTable(private val random: Random, private val scope: CoroutineScope) : TableService {
    private val rows = TreeMap<String, TableRow>()
    private var version = 0L

    var isFaulty = true

    /** All writes that took effect, in order, as pairs of key and value; the value of a deleted row is null. */
    val written = mutableListOf<Pair<String, String?>>()

    override suspend fun read(key: String): Either<PlatformError, TableRow?> {
        delay(random.nextLong(1, 20))
        if (isFaulty && random.nextInt(4) == 0) return unavailable("read")
        return rows[key].right()
    }

    override suspend fun list(prefix: String): Either<PlatformError, List<TableRow>> {
        delay(random.nextLong(1, 20))
        return rows.values.filter { it.key.startsWith(prefix) }.right()
    }

    override suspend fun transact(writes: List<ConditionalWrite>): Either<PlatformError, TransactionResult> {
        delay(random.nextLong(1, 20))
        if (!isFaulty) return apply(writes).right()
        return when (random.nextInt(6)) {
            0 -> unavailable("write")
            1 -> uncertain()
            2 -> {
                apply(writes)
                uncertain()
            }
            3 -> {
                scope.launch {
                    delay(random.nextLong(1, 3000))
                    apply(writes)
                }
                uncertain()
            }
            else -> apply(writes).right()
        }
    }

    private fun apply(writes: List<ConditionalWrite>): TransactionResult {
        val failed = writes.indices.filterNot { isSatisfied(writes[it]) }.toSet()
        if (failed.isNotEmpty()) return TransactionResult.Rejected(failed)
        writes.forEach { write ->
            written += write.key to write.value
            val value = write.value
            if (value == null) rows.remove(write.key) else rows[write.key] = TableRow(write.key, value, ++version)
        }
        return TransactionResult.Applied
    }

    private fun isSatisfied(write: ConditionalWrite): Boolean = when (val condition = write.condition) {
        RowCondition.Absent -> write.key !in rows
        is RowCondition.VersionIs -> rows[write.key]?.version == condition.version
    }

    private fun unavailable(step: String) =
        PlatformError.Unavailable(step, "fake", "The service is unavailable.").left()

    private fun uncertain() = PlatformError.Uncertain("write", "fake", "The response was lost.").left()
}
