package design

import . "goa.design/goa/v3/dsl" //nolint:revive,staticcheck // The goa language is meant for dot imports.

// DataCentreState tells how far a data centre has taken up a revision.
var DataCentreState = Type("DataCentreState", func() {
	Attribute("data_centre", String, "The data centre.")
	Attribute("revision", Int64, "The oldest revision in force there.")
	Attribute("instances", Int, "The number of live entry instances known there.")
	Attribute("reachable", Boolean, "Whether it has been heard of lately.")
	Required("data_centre", "revision", "instances", "reachable")
})

// Change is one difference between a declaration and what is in force.
var Change = Type("Change", func() {
	Attribute("item", String, "The item, as kind/name.")
	Attribute("change", String, func() { Enum("added", "changed", "removed") })
	Required("item", "change")
})

// Applied is the answer to an accepted declaration.
var Applied = Type("Applied", func() {
	Attribute("revision", Int64, "The revision that was accepted.")
	Attribute("changes", ArrayOf(Change))
	Attribute("in_force", ArrayOf(String), "Data centres where it is in force.")
	Attribute("pending", ArrayOf(String), "Data centres where it is not known to be in force yet.")
	Required("revision", "changes", "in_force", "pending")
})

// Row is one line of an answer to a query.
var Row = Type("Row", func() {
	Attribute("cells", ArrayOf(String))
	Required("cells")
})

// Table is the answer to a query.
var Table = Type("Table", func() {
	Attribute("columns", ArrayOf(String))
	Attribute("rows", ArrayOf(Row))
	Required("columns", "rows")
})

var _ = Service("command", func() {
	Description("What operators may change.")
	refusals()
	HTTP(func() { Path("/v1/operator") })
	Method("apply", func() {
		Description("Puts a whole declaration in force, if it still rests on the given revision.")
		Payload(func() {
			Attribute("authorization", String, "The operator's key as a bearer token.")
			Attribute("declaration", String, "The declaration, as YAML.")
			Attribute("base_revision", Int64, "The revision the declaration rests on. Minus one takes the newest.")
			Attribute("allow_pending", Boolean, "Accept while a data centre cannot be reached.", func() { Default(false) })
			Attribute("command_id", String, "The command's own identity, the same in a repeat.")
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
			Attribute("instance", String, "The instance.")
			Attribute("mark", String, func() { Enum("drain", "stop", "none") })
			Attribute("command_id", String, "The command's own identity, the same in a repeat.")
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
	Description("What operators may ask.")
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
		Description("Compares a declaration with what is in force.")
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
		Description("Answers a line of the query language.")
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
		Description("Tells which revision is in force in each data centre.")
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
