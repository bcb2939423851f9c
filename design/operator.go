package design

import . "goa.design/goa/v3/dsl" //nolint:revive,staticcheck // The goa language is meant for dot imports.

// DataCentreState is the configuration state of a data centre.
var DataCentreState = Type("DataCentreState", func() {
	Attribute("data_centre", String, "The name of the data centre.")
	Attribute("revision", Int64, "The oldest revision in force there.")
	Attribute("instances", Int, "The number of live entry instances that are known there.")
	Attribute("reachable", Boolean, "Whether recent state of it has been received.")
	Required("data_centre", "revision", "instances", "reachable")
})

// Change is one difference between a declaration and the configuration in force.
var Change = Type("Change", func() {
	Attribute("item", String, "The item, as kind/name.")
	Attribute("change", String, func() { Enum("added", "changed", "removed") })
	Required("item", "change")
})

// Applied is the response to an accepted command.
var Applied = Type("Applied", func() {
	Attribute("revision", Int64, "The revision that was accepted.")
	Attribute("changes", ArrayOf(Change))
	Attribute("in_force", ArrayOf(String), "Data centres where it is in force.")
	Attribute("pending", ArrayOf(String), "Data centres where it is not known to be in force yet.")
	Required("revision", "changes", "in_force", "pending")
})

// Row is one row of a query's result.
var Row = Type("Row", func() {
	Attribute("cells", ArrayOf(String))
	Required("cells")
})

// Table is the result of a query.
var Table = Type("Table", func() {
	Attribute("columns", ArrayOf(String))
	Attribute("rows", ArrayOf(Row))
	Required("columns", "rows")
})

var _ = Service("command", func() {
	Description("Commands that change the configuration.")
	refusals()
	HTTP(func() { Path("/v1/operator") })
	Method("apply", func() {
		Description("Puts a whole declaration in force if the given revision is still the newest.")
		Payload(func() {
			Attribute("authorization", String, "The operator's key as a bearer token.")
			Attribute("declaration", String, "The declaration, as YAML.")
			Attribute("base_revision", Int64, "The revision that the declaration is based on. Minus one means the newest.")
			Attribute("allow_pending", Boolean, "Accept the declaration while a data centre cannot be reached.", func() { Default(false) })
			Attribute("command_id", String, "The command's identity. A retry has the same one.")
			Required("declaration", "base_revision", "command_id")
		})
		Result(Applied)
		HTTP(func() {
			POST("/apply")
			Header("authorization:Authorization")
			refusalResponses()
		})
	})
	Method("mark", func() {
		Description("Drains, stops or restores one instance.")
		Payload(func() {
			Attribute("authorization", String, "The operator's key as a bearer token.")
			Attribute("instance", String, "The name of the instance.")
			Attribute("mark", String, func() { Enum("drain", "stop", "none") })
			Attribute("command_id", String, "The command's identity. A retry has the same one.")
			Required("instance", "mark", "command_id")
		})
		Result(Applied)
		HTTP(func() {
			POST("/mark")
			Header("authorization:Authorization")
			refusalResponses()
		})
	})
})

var _ = Service("query", func() {
	Description("Queries about the configuration and the running deployment.")
	refusals()
	HTTP(func() { Path("/v1/operator") })
	Method("get", func() {
		Description("Returns the declaration in force at this instance.")
		Payload(func() {
			Attribute("authorization", String, "The operator's key as a bearer token.")
		})
		Result(func() {
			Attribute("revision", Int64)
			Attribute("declaration", String)
			Required("revision", "declaration")
		})
		HTTP(func() {
			GET("/declaration")
			Header("authorization:Authorization")
			refusalResponses()
		})
	})
	Method("diff", func() {
		Description("Compares a declaration with the one in force.")
		Payload(func() {
			Attribute("authorization", String, "The operator's key as a bearer token.")
			Attribute("declaration", String)
			Required("declaration")
		})
		Result(func() {
			Attribute("revision", Int64)
			Attribute("changes", ArrayOf(Change))
			Required("revision", "changes")
		})
		HTTP(func() {
			POST("/diff")
			Header("authorization:Authorization")
			refusalResponses()
		})
	})
	Method("ask", func() {
		Description("Runs one query of the query language.")
		Payload(func() {
			Attribute("authorization", String, "The operator's key as a bearer token.")
			Attribute("query", String)
			Required("query")
		})
		Result(Table)
		HTTP(func() {
			POST("/query")
			Header("authorization:Authorization")
			refusalResponses()
		})
	})
	Method("places", func() {
		Description("Returns the revision in force in each data centre.")
		Payload(func() {
			Attribute("authorization", String, "The operator's key as a bearer token.")
		})
		Result(ArrayOf(DataCentreState))
		HTTP(func() {
			GET("/data_centres")
			Header("authorization:Authorization")
			refusalResponses()
		})
	})
})
