package org.guavahatch.coordination.http

import arrow.core.Either
import io.ktor.client.request.header
import io.ktor.client.request.setBody
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import org.guavahatch.coordination.store.ObjectStore
import org.guavahatch.coordination.store.PlatformError

/** Accesses the object store of the platform over HTTP with [client]. */
public class HttpObjectStore(private val client: PlatformClient) : ObjectStore {
    override suspend fun get(key: String): Either<PlatformError, String?> =
        client.call("get object", HttpMethod.Get, "/objects/$key", isWrite = false)
            .map { response -> response.body.takeIf { response.status != NOT_FOUND } }

    override suspend fun putIfAbsent(key: String, content: String): Either<PlatformError, Boolean> =
        client.call("put object", HttpMethod.Put, "/objects/$key", isWrite = true) {
            header(HttpHeaders.IfNoneMatch, "*")
            setBody(content)
        }.map { response -> response.status != PRECONDITION_FAILED }

    private companion object {
        const val NOT_FOUND = 404
        const val PRECONDITION_FAILED = 412
    }
}
