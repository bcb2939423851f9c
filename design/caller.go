package design

import . "goa.design/goa/v3/dsl" //nolint:revive,staticcheck // The goa language is meant for dot imports.

var _ = API("mulberryspoke", func() {
	Title("mulberryspoke")
	Description("A serving system for model assistants and booking services on reclaimable instances.")
	Version("1")
	Server("caller", func() {
		Description("The address for callers.")
		Services("chat", "plain")
		Host("local", func() { URI("http://127.0.0.1:8080") })
	})
	Server("operator", func() {
		Description("The address for operators.")
		Services("command", "query")
		Host("local", func() { URI("http://127.0.0.1:8081") })
	})
})

// RefusalDetail is the reason for a refusal and whether the request ran.
var RefusalDetail = Type("RefusalDetail", func() {
	Meta("struct:pkg:path", "types")
	Attribute("message", String, "The reason as a human-readable sentence.")
	Attribute("type", String, "The machine-readable kind of refusal.")
	Attribute("code", String, "The same kind, in the field that model clients read.")
	Attribute("outcome", String, "Whether the request ran.", func() {
		Enum("not_run", "outcome_unknown", "incomplete")
	})
	Attribute("scope", String, "What the outcome applies to: the whole request, or only this attempt if earlier ones under the same idempotency key could not be looked up.", func() {
		Enum("request", "attempt")
	})
	Required("message", "type", "code", "outcome", "scope")
})

// Refusal is the body of every error response.
var Refusal = Type("Refusal", func() {
	Meta("struct:pkg:path", "types")
	Attribute("name", String, "The name of the error.", func() {
		Meta("struct:error:name")
	})
	Attribute("error", RefusalDetail, func() {
		Meta("struct:field:name", "Detail")
	})
	Attribute("retry_after", Int, "Seconds after which the request may be retried.")
	Required("name", "error", "retry_after")
})

func refusals() {
	Error("invalid", Refusal, "The request is malformed.")
	Error("unauthorized", Refusal, "The key is missing or wrong.")
	Error("unknown", Refusal, "There is no such service or object.")
	Error("conflict", Refusal, "The request conflicts with another one.")
	Error("too_large", Refusal, "The body is larger than allowed.")
	Error("mismatch", Refusal, "The idempotency key was used with another body.")
	Error("limited", Refusal, "The workspace has exceeded a limit.")
	Error("failed", Refusal, "A backend server failed.")
	Error("unavailable", Refusal, "The request cannot be served now.")
	Error("expired", Refusal, "The request's deadline has passed.")
}

func refusalResponse(name string, status int) {
	Response(name, status, func() {
		Header("retry_after:Retry-After")
	})
}

func refusalResponses() {
	refusalResponse("invalid", StatusBadRequest)
	refusalResponse("unauthorized", StatusUnauthorized)
	refusalResponse("unknown", StatusNotFound)
	refusalResponse("conflict", StatusConflict)
	refusalResponse("too_large", StatusRequestEntityTooLarge)
	refusalResponse("mismatch", StatusUnprocessableEntity)
	refusalResponse("limited", StatusTooManyRequests)
	refusalResponse("failed", StatusBadGateway)
	refusalResponse("unavailable", StatusServiceUnavailable)
	refusalResponse("expired", StatusGatewayTimeout)
}

var _ = Service("chat", func() {
	Description("Model services, under the API that model clients already use.")
	refusals()
	Method("complete", func() {
		Description("Completes a conversation, in one response or as server-sent events.")
		Payload(func() {
			Attribute("authorization", String, "The workspace's key as a bearer token.")
		})
		Result(func() {
			Attribute("content_type", String)
			Required("content_type")
		})
		HTTP(func() {
			POST("/v1/chat/completions")
			Header("authorization:Authorization")
			SkipRequestBodyEncodeDecode()
			SkipResponseBodyEncodeDecode()
			Response(StatusOK, func() {
				Header("content_type:Content-Type")
			})
			refusalResponses()
		})
	})
})

var _ = Service("plain", func() {
	Description("Plain services, some of whose requests must not be repeated.")
	refusals()
	Method("call", func() {
		Description("Forwards one request to a plain service.")
		Payload(func() {
			Attribute("authorization", String, "The workspace's key as a bearer token.")
			Attribute("idempotency_key", String, "Identifies a request that must run at most once.")
			Attribute("service", String, "The name of the service.")
			Attribute("path", String, "The path within the service.")
			Required("service", "path")
		})
		Result(func() {
			Attribute("content_type", String)
			Required("content_type")
		})
		HTTP(func() {
			GET("/v1/services/{service}/{*path}")
			POST("/v1/services/{service}/{*path}")
			PUT("/v1/services/{service}/{*path}")
			DELETE("/v1/services/{service}/{*path}")
			Header("authorization:Authorization")
			Header("idempotency_key:Idempotency-Key")
			SkipRequestBodyEncodeDecode()
			SkipResponseBodyEncodeDecode()
			Response(StatusOK, func() {
				Header("content_type:Content-Type")
			})
			refusalResponses()
		})
	})
})
