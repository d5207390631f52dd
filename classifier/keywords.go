package classifier

import "strings"

// wordSet returns the set of words in the texts.
func wordSet(texts ...string) map[string]bool {
	set := make(map[string]bool)
	for _, text := range texts {
		for word := range strings.FieldsSeq(text) {
			set[word] = true
		}
	}
	return set
}

// readKeywords begin statements that may be reads.
var readKeywords = wordSet("select values table with show")

// writeKeywords begin or mark parts of a statement that change data.
var writeKeywords = wordSet("insert update delete merge into truncate copy call execute")

// clauseKeywords cannot be function names but may be followed by a parenthesis.
var clauseKeywords = wordSet(
	"select from where and or not in any all some on using with as union intersect",
	"except distinct having limit offset fetch when then else case end order group",
	"lateral returning into array only default for table to collate",
	"cast values exists between row grouping coalesce nullif greatest least extract overlay",
	"position substring trim treat numeric decimal dec char character varchar bit float",
	"time timestamp interval precision national nchar",
)

// operatorKeywords are operators or parts of a join after an operand; elsewhere
// they can be function names.
var operatorKeywords = wordSet("join like ilike similar is")

// operandPrecedingKeywords are words that are followed by an operand, so that
// one of operatorKeywords after them is a name.
var operandPrecedingKeywords = wordSet(
	"select where and or on by having when then else case returning distinct all from",
	"using in any some limit offset as values set between filter not array",
)

// columnListKeywords precede a name that is followed by a list of columns or by
// the length of a type.
var columnListKeywords = wordSet("as into with")

// readOnlyFunctions change no data and leave no state on the connection. Some
// of them are not deterministic.
var readOnlyFunctions = wordSet(
	// Aggregates and window functions.
	"count sum min max avg every bool_and bool_or bit_and bit_or array_agg string_agg",
	"json_agg jsonb_agg json_object_agg jsonb_object_agg stddev variance stddev_pop",
	"stddev_samp var_pop var_samp corr percentile_cont percentile_disc mode",
	"row_number rank dense_rank percent_rank cume_dist ntile lag lead first_value",
	"last_value nth_value",
	// Numbers.
	"abs ceil ceiling floor round trunc sign sqrt power exp ln log mod div random pi",
	"sin cos tan asin acos atan atan2 radians degrees width_bucket",
	// Texts.
	"lower upper initcap length char_length character_length octet_length bit_length",
	"concat concat_ws left right lpad rpad ltrim rtrim btrim repeat replace reverse",
	"split_part strpos starts_with substr translate ascii chr md5 sha256 encode decode",
	"format quote_ident quote_literal quote_nullable regexp_match regexp_matches",
	"regexp_replace regexp_split_to_array regexp_split_to_table to_char to_number",
	"to_date to_timestamp to_hex",
	// Times.
	"now age date_part date_trunc date_bin make_date make_time make_timestamp",
	"make_timestamptz make_interval clock_timestamp statement_timestamp",
	"transaction_timestamp timeofday justify_days justify_hours justify_interval isfinite",
	// Arrays, ranges and JSON.
	"array_length array_position array_positions array_append array_cat array_prepend",
	"array_remove array_replace array_to_string array_upper array_lower array_ndims",
	"cardinality unnest string_to_array generate_series generate_subscripts",
	"json_build_object jsonb_build_object json_build_array jsonb_build_array to_json",
	"to_jsonb row_to_json json_array_length jsonb_array_length json_array_elements",
	"jsonb_array_elements json_array_elements_text jsonb_array_elements_text json_each",
	"jsonb_each json_each_text jsonb_each_text json_extract_path jsonb_extract_path",
	"json_object_keys jsonb_object_keys jsonb_set jsonb_strip_nulls jsonb_typeof",
	"json_typeof jsonb_pretty",
	// Identity and catalogue.
	"version current_database current_schema current_schemas current_setting",
	"pg_typeof format_type pg_get_expr pg_get_constraintdef pg_get_indexdef pg_get_viewdef",
	"pg_get_userbyid pg_table_is_visible pg_type_is_visible pg_function_is_visible",
	"pg_is_in_recovery pg_backend_pid obj_description col_description",
	"has_table_privilege has_schema_privilege has_database_privilege pg_sleep",
	"gen_random_uuid",
)

// writingFunctions are sequence functions and similar ones that count as
// writes. The only state that they leave on the connection affects later calls
// of currval and lastval.
var writingFunctions = wordSet("nextval setval currval lastval pg_notify",
	"pg_advisory_xact_lock pg_try_advisory_xact_lock pg_advisory_xact_lock_shared",
	"pg_try_advisory_xact_lock_shared pg_current_wal_lsn txid_current")

// connectionBoundFunctions act on, or report on, the connection on which they
// run.
var connectionBoundFunctions = wordSet("currval lastval set_config",
	"pg_advisory_lock pg_advisory_lock_shared pg_try_advisory_lock pg_try_advisory_lock_shared",
	"pg_advisory_unlock pg_advisory_unlock_shared pg_advisory_unlock_all")
