package org.guavahatch.coordination.http

import arrow.core.Either
import io.ktor.client.request.parameter
import io.ktor.client.request.setBody
import io.ktor.http.ContentType
import io.ktor.http.HttpMethod
import io.ktor.http.contentType
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.guavahatch.coordination.store.ConditionalWrite
import org.guavahatch.coordination.store.PlatformError
import org.guavahatch.coordination.store.RowCondition
import org.guavahatch.coordination.store.TableRow
import org.guavahatch.coordination.store.TableService
import org.guavahatch.coordination.store.TransactionResult

/** Accesses the table service of the platform over HTTP with [client]. */
public class HttpTableService(private val client: PlatformClient) : TableService {
    @Serializable
    private data class WriteDocument(val key: String, val value: String?, val ifVersion: Long)

    @Serializable
    private data class TransactionDocument(val writes: List<WriteDocument>)

    @Serializable
    private data class RejectionDocument(val failed: Set<Int>)

    override suspend fun read(key: String): Either<PlatformError, TableRow?> =
        client.call("read row", HttpMethod.Get, "/table/row", isWrite = false) { parameter("key", key) }
            .map { if (it.status == NOT_FOUND) null else json.decodeFromString<TableRow>(it.body) }

    override suspend fun list(prefix: String): Either<PlatformError, List<TableRow>> =
        client.call("list rows", HttpMethod.Get, "/table/rows", isWrite = false) { parameter("prefix", prefix) }
            .map { response -> json.decodeFromString<List<TableRow>>(response.body) }

    override suspend fun transact(writes: List<ConditionalWrite>): Either<PlatformError, TransactionResult> {
        val document =
            TransactionDocument(writes.map { WriteDocument(it.key, it.value, expectedVersion(it.condition)) })
        return client.call("write rows", HttpMethod.Post, "/table/transaction", isWrite = true) {
            contentType(ContentType.Application.Json)
            setBody(json.encodeToString(TransactionDocument.serializer(), document))
        }.map { response ->
            if (response.status == CONFLICT) {
                TransactionResult.Rejected(json.decodeFromString<RejectionDocument>(response.body).failed)
            } else {
                TransactionResult.Applied
            }
        }
    }

    private fun expectedVersion(condition: RowCondition): Long = when (condition) {
        RowCondition.Absent -> 0
        is RowCondition.VersionIs -> condition.version
    }

    private companion object {
        const val NOT_FOUND = 404
        const val CONFLICT = 409
        val json = Json { ignoreUnknownKeys = true }
    }
}
