package org.guavahatch.cli.command

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.guavahatch.coordination.http.HttpObjectStore
import org.guavahatch.coordination.http.HttpTableService
import org.guavahatch.coordination.http.PlatformClient
import org.guavahatch.coordination.http.SingleAttemptClient
import org.guavahatch.coordination.publication.ConfigurationStore

/** Reads the text of the configuration that a new one is compared with. */
internal object ConfigurationInForce {
    private const val TIMEOUT_MILLISECONDS = 5_000L
    private const val OK = 200

    /** The latest version accepted at the platform's [url], an empty text if there is none, or the error. */
    fun ofPlatform(url: String): Either<String, String> = PlatformClient(url, TIMEOUT_MILLISECONDS).use { client ->
        val store = ConfigurationStore(HttpTableService(client), HttpObjectStore(client))
        runBlocking {
            when (val head = store.head()) {
                is Either.Left -> head.value.let { "${it.step} at ${it.peer}: ${it.detail}" }.left()
                is Either.Right -> head.value?.publication?.version?.let { version ->
                    store.text(version).mapLeft { "${it.step} at ${it.peer}: ${it.detail}" }.map { it.orEmpty() }
                } ?: "".right()
            }
        }
    }

    /** The version in force at the gateway with control address [gateway], or the error. */
    fun ofGateway(gateway: String): Either<String, String> {
        val url = (if ("://" in gateway) gateway else "http://$gateway").removeSuffix("/") + "/configuration"
        return try {
            SingleAttemptClient.create(1, TIMEOUT_MILLISECONDS).use { client ->
                runBlocking {
                    withTimeout(TIMEOUT_MILLISECONDS) {
                        val response = client.get(url)
                        val status = response.status.value
                        if (status == OK) response.bodyAsText().right() else "GET $url: status $status".left()
                    }
                }
            }
        } catch (exception: Exception) {
            "GET $url: ${exception.javaClass.simpleName}: ${exception.message}".left()
        }
    }
}
