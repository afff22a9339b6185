package org.guavahatch.coordination.http

import arrow.core.Either
import io.ktor.http.HttpMethod
import kotlinx.serialization.json.Json
import org.guavahatch.coordination.store.Instance
import org.guavahatch.coordination.store.InstanceList
import org.guavahatch.coordination.store.PlatformError

/**
 * Reads the instance list of the platform over HTTP with [client].
 *
 * @property deployment name of the deployment whose instances are listed
 */
public class HttpInstanceList(private val client: PlatformClient, private val deployment: String) : InstanceList {
    override suspend fun instances(): Either<PlatformError, List<Instance>> =
        client.call("list instances", HttpMethod.Get, "/instances/$deployment", isWrite = false)
            .map { response -> json.decodeFromString<List<Instance>>(response.body) }

    private companion object {
        val json = Json { ignoreUnknownKeys = true }
    }
}
